"""API keys that name their customer: `CUSTOMER.MAC`.

The MAC is an HMAC-SHA256 over the customer's name under the deployment's
secret, so no table of keys is needed.
"""

import hashlib
import hmac

MAC_DIGITS = 32


def make_api_key(customer: str, secret: str) -> str:
    """Returns the API key of a customer."""
    return f"{customer}.{_make_mac(customer, secret)}"


def find_customer(api_key: str, secret: str) -> str | None:
    """Returns the customer that an API key names, None if it is not valid."""
    customer, _, mac = api_key.rpartition(".")
    if not customer:
        return None
    expected = _make_mac(customer, secret).encode()
    given = mac.encode(errors="surrogateescape")
    return customer if hmac.compare_digest(expected, given) else None


def _make_mac(customer: str, secret: str) -> str:
    digest = hmac.new(secret.encode(), customer.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_DIGITS]
