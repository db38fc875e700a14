"""Explains to the operator which rules apply to an address. The texts are output of `admission explain`."""

from __future__ import annotations

from typing import NamedTuple

from .addresses import address_block, format_address, format_block
from .rules import Rules
from .trust import ClientTrust

_TRUST_TEXT = {
    ClientTrust.LISTED: "listed by the operator",
    ClientTrust.EARNED: "earned by sound requests",
    ClientTrust.UNTRUSTED: "stranger",
}


class RuleExplanation(NamedTuple):
    """The effect of a rule on an address."""

    rule: str
    text: str


def explain_rules(rules: Rules, limit: int, address: bytes, trust: ClientTrust) -> list[RuleExplanation]:
    """Return the effect of each rule on an address of this trust, in rule order, for a table of `limit` connections."""
    is_limited = trust is not ClientTrust.LISTED
    is_untrusted = trust is ClientTrust.UNTRUSTED
    block = address_block(address, rules.block_v4, rules.block_v6)
    address_rate = f"{rules.rate_address:g} a second, {rules.burst_address} at once"
    block_rate = f"{rules.rate_block:g} a second, {rules.burst_block} at once"
    new_share = f"{rules.max_new(limit)} connections of strangers that have not sent a sound request"
    earning = (
        f"{rules.earn_requests} sound requests over {rules.earn_over:g} s, the first on each "
        f"connection not counted; kept for {rules.earned_age:g} s"
    )
    return [
        RuleExplanation("address", format_address(address)),
        RuleExplanation("block", format_block(block, rules.block_v4, rules.block_v6)),
        RuleExplanation("rank", _TRUST_TEXT[trust]),
        _explain("rate of its address", is_limited, rules.rate_address > 0, address_rate),
        _explain("cap of its address", is_limited, rules.per_address > 0, f"{rules.per_address} connections"),
        _explain("rate of its block", is_untrusted, rules.rate_block > 0, block_rate),
        _explain("cap of its block", is_untrusted, rules.per_block > 0, f"{rules.per_block} connections"),
        _explain("share of the new", is_untrusted, rules.new_share < 1, new_share),
        RuleExplanation("table", _table_text(rules, limit, is_untrusted)),
        _explain("earning", is_limited, rules.earn_requests > 0, earning),
    ]


def _explain(rule: str, applies: bool, enabled: bool, text: str) -> RuleExplanation:
    if not applies:
        return RuleExplanation(rule, "does not apply to it")
    return RuleExplanation(rule, text if enabled else "off")


def _table_text(rules: Rules, limit: int, is_untrusted: bool) -> str:
    if not is_untrusted:
        return f"{limit} connections"
    return f"{limit - rules.reserved_places(limit)} of {limit} connections, the rest is kept for the known"
