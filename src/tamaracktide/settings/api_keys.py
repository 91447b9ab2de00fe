"""API keys of the form `CUSTOMER.MAC`.

The MAC is an HMAC-SHA256 of the customer's name, keyed with the secret of the
deployment, so that keys are verified without a key store.
"""

import hashlib
import hmac

MAC_HEX_DIGITS = 32


def make_api_key(customer: str, secret: str) -> str:
    """Returns the API key of a customer."""
    return f"{customer}.{_make_mac(customer, secret)}"


def verify_api_key(api_key: str, secret: str) -> str | None:
    """Returns the customer of an API key, or None if the key is not valid."""
    customer, _, mac = api_key.rpartition(".")
    if not customer:
        return None
    expected_mac = _make_mac(customer, secret).encode()
    provided_mac = mac.encode(errors="surrogateescape")
    return customer if hmac.compare_digest(expected_mac, provided_mac) else None


def _make_mac(customer: str, secret: str) -> str:
    digest = hmac.new(secret.encode(), customer.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_HEX_DIGITS]
