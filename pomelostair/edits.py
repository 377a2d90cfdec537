"""Pure functions that edit the configuration.

Each function returns an edit for `configtable.ConfigTable.change`; only
`resume` is itself an edit.
"""

import attrs

from pomelostair import command
from pomelostair import configtable
from pomelostair import declaration
from pomelostair import errors
from pomelostair import outcome

_SINGLE_VALUE = 1


def replace_declarations(
    declarations: declaration.Declarations,
) -> configtable.Edit:
    """Returns the edit that replaces all declarations."""

    def edit(
        current: declaration.VersionedConfiguration,
    ) -> declaration.VersionedConfiguration:
        return attrs.evolve(current, declarations=declarations)

    return edit


def set_limit(sentence: command.SetLimit) -> configtable.Edit:
    """Returns the edit that changes one limit."""

    def edit(
        current: declaration.VersionedConfiguration,
    ) -> declaration.VersionedConfiguration | outcome.Refused:
        before = current.declarations.limits
        try:
            value = _limit_value(before, sentence)
            limits = attrs.evolve(before, **{sentence.name: value})
        except errors.SettingsError as error:
            return _bad_request(
                f"change the value of {error.key}: {error.remedy}"
            )
        changed = attrs.evolve(current.declarations, limits=limits)
        return attrs.evolve(current, declarations=changed)

    return edit


def _limit_value(
    limits: declaration.Limits, sentence: command.SetLimit
) -> object:
    current_value = getattr(limits, sentence.name)
    if isinstance(current_value, tuple):
        return sentence.values
    if len(sentence.values) != _SINGLE_VALUE:
        remedy = "write one number"
        raise errors.SettingsError(sentence.name, sentence.values, remedy)
    value = sentence.values[0]
    if isinstance(current_value, int) and value != int(value):
        remedy = "write a whole number"
        raise errors.SettingsError(sentence.name, value, remedy)
    return int(value) if isinstance(current_value, int) else value


def set_urgency(sentence: command.SetUrgency) -> configtable.Edit:
    """Returns the edit that changes the urgency class of a kind of work."""

    def edit(
        current: declaration.VersionedConfiguration,
    ) -> declaration.VersionedConfiguration | outcome.Refused:
        name = sentence.urgency.name.lower()
        try:
            entry = declaration.KindUrgency(sentence.kind, name)
        except errors.SettingsError as error:
            return _bad_request(f"change the kind of work: {error.remedy}")
        others = tuple(
            known
            for known in current.declarations.urgencies
            if known.kind != sentence.kind
        )
        changed = attrs.evolve(current.declarations, urgencies=(*others, entry))
        return attrs.evolve(current, declarations=changed)

    return edit


def drain(sentence: command.Drain) -> configtable.Edit:
    """Returns the edit that orders a drain."""

    def edit(
        current: declaration.VersionedConfiguration,
    ) -> declaration.VersionedConfiguration:
        entry = declaration.Drain(
            sentence.kind, sentence.target, sentence.within_ms / 1000
        )
        others = _drains_without(current, sentence.target)
        orders = attrs.evolve(current.orders, drains=(*others, entry))
        return attrs.evolve(current, orders=orders)

    return edit


def undrain(sentence: command.Undrain) -> configtable.Edit:
    """Returns the edit that ends a drain."""

    def edit(
        current: declaration.VersionedConfiguration,
    ) -> declaration.VersionedConfiguration:
        others = _drains_without(current, sentence.target)
        orders = attrs.evolve(current.orders, drains=others)
        return attrs.evolve(current, orders=orders)

    return edit


def stop(order: declaration.Stop, may_replace: bool) -> configtable.Edit:
    """Returns the edit that orders a stop or shed.

    Args:
        order: The order.
        may_replace: Whether it may replace a stop that is in effect.
    """

    def edit(
        current: declaration.VersionedConfiguration,
    ) -> declaration.VersionedConfiguration | outcome.Refused:
        current_stop = current.orders.stop
        if (
            current_stop is not None
            and current_stop.keep_share == 0
            and not may_replace
        ):
            return outcome.Refused(
                outcome.Kind.CONFLICT,
                "resume the site first, or repeat with the expected version "
                f"{current.version} to replace the current stop",
            )
        orders = attrs.evolve(current.orders, stop=order)
        return attrs.evolve(current, orders=orders)

    return edit


def resume(
    current: declaration.VersionedConfiguration,
) -> declaration.VersionedConfiguration:
    """Ends a stop or shed; changes nothing if there is none."""
    orders = attrs.evolve(current.orders, stop=None)
    return attrs.evolve(current, orders=orders)


def _drains_without(
    current: declaration.VersionedConfiguration, target: str
) -> tuple[declaration.Drain, ...]:
    return tuple(d for d in current.orders.drains if d.target != target)


def _bad_request(remedy: str) -> outcome.Refused:
    return outcome.Refused(outcome.Kind.BAD_REQUEST, remedy)
