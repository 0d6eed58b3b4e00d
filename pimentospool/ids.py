"""Identifier types."""

from typing import NewType

RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
EntryId = NewType("EntryId", str)
TargetId = NewType("TargetId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)
Incarnation = NewType("Incarnation", str)
MemberKey = NewType("MemberKey", int)
"""Short identifier of one start of an entry process, for compact messages."""
SuspectKey = NewType("SuspectKey", int)
"""Hash of a part of a prompt or of a whole request, for compact messages."""
CrashKey = NewType("CrashKey", int)
"""Hash of the start of a target that crashed."""
