"""Constrained field types for the settings of the stand-ins."""

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(gt=0)]
Rate = Annotated[float, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]
Duration = Annotated[float, msgspec.Meta(gt=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
