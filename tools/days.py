#!/usr/bin/env python3
"""Writes deploy/days/*.toml: a day for each kind of fault, injected twice, and
days on which two kinds overlap. The users' bench runs each of them on any site:
`fleetbench run SITE deploy/days/NAME.toml`."""
import os

FAULTS = {
    "srv-slow": 'kind = "srv_slow", share = 0.2, x = 6.0, for_s = 6.0',
    "srv-grey-errors": 'kind = "srv_grey", how = "errors", share = 0.2, x = 1.0, for_s = 6.0',
    "srv-grey-shed": 'kind = "srv_grey", how = "shed", share = 0.2, x = 1.0, for_s = 6.0',
    "srv-grey-busy": 'kind = "srv_grey", how = "busy", share = 0.2, x = 1.0, for_s = 6.0',
    "srv-grey-hang": 'kind = "srv_grey", how = "hang", share = 0.2, x = 1.0, for_s = 6.0',
    "srv-grey-reset": 'kind = "srv_grey", how = "reset", share = 0.2, x = 1.0, for_s = 6.0',
    "srv-grey-mute": 'kind = "srv_grey", how = "mute", share = 0.2, x = 1.0, for_s = 6.0',
    "srv-grey-slow": 'kind = "srv_grey", how = "slow", share = 0.2, x = 8.0, for_s = 6.0',
    "give-up": 'kind = "give_up", share = 0.4, for_s = 6.0',
    "burst": 'kind = "burst", x = 3.0, for_s = 5.0',
    "node-kill": 'kind = "node_kill", on = "core", count = 1, how = "leader"',
    "node-kill-power": 'kind = "node_kill", on = "core", count = 1, how = "leader power", for_s = 3.5',
    "node-kill-race": 'kind = "node_kill", on = "core", count = 1, how = "leader race drain"',
    "node-kill-meet": 'kind = "node_kill", on = "core", count = 1, how = "meet drain", for_s = 3.0',
    "node-kill-giver": 'kind = "node_kill", on = "core", count = 1, how = "giver"',
    "node-kill-side": 'kind = "node_kill", on = "side", share = 0.3',
    "node-kill-side-power": 'kind = "node_kill", on = "side", share = 0.2, how = "power", for_s = 4.0',
    "node-slow": 'kind = "node_slow", share = 0.34, x = 6.0, for_s = 6.0',
    "node-slow-side": 'kind = "node_slow", share = 0.34, x = 6.0, for_s = 6.0, on = "side"',
    "node-freeze": 'kind = "node_freeze", share = 0.34, for_s = 4.0, how = "leader"',
    "node-freeze-side": 'kind = "node_freeze", share = 0.3, for_s = 4.0, on = "side"',
    "herd-kill": 'kind = "herd_kill", on = "core", share = 1.0',
    "herd-kill-off": 'kind = "herd_kill", on = "core", share = 1.0, how = "off", for_s = 8.0',
    "herd-kill-power": 'kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 9.5',
    "herd-kill-taken": 'kind = "herd_kill", how = "taken all", for_s = 3.0',
    "replace-core": 'kind = "replace_core", x = 2.0, how = "leader"',
    "after-ack-kill": 'kind = "after_ack_kill", for_s = 3.0, how = "taken"',
    "after-ack-kill-timed": 'kind = "after_ack_kill", for_s = 2.0, how = "timed"',
    "core-cut": 'kind = "core_cut", count = 1, for_s = 5.5, how = "leader one_way"',
    "core-cut-race": 'kind = "core_cut", for_s = 4.0, how = "leader race"',
    "core-cut-all": 'kind = "core_cut", count = 1, for_s = 5.0, how = "leader all"',
    "node-cut": 'kind = "node_cut", share = 0.34, for_s = 6.0',
    "node-cut-long": 'kind = "node_cut", share = 0.2, for_s = 15.0, on = "side"',
    "node-cut-side": 'kind = "node_cut", share = 0.3, for_s = 5.5, on = "side"',
    "node-cut-all": 'kind = "node_cut", share = 0.34, for_s = 5.0, how = "all"',
    "node-cut-reset": 'kind = "node_cut", how = "reset revoke", share = 0.34, for_s = 8.0',
    "node-cut-meet": 'kind = "node_cut", how = "meet", share = 0.34, for_s = 8.0',
    "platform-down": 'kind = "platform_down", for_s = 5.0, how = "silent"',
    "platform-down-lapse": 'kind = "platform_down", for_s = 6.0, how = "busy lapse"',
    "platform-down-reset": 'kind = "platform_down", for_s = 6.0, how = "reset"',
    "platform-down-long": 'kind = "platform_down", for_s = 16.0, how = "silent lapse"',
    "platform-nodes": 'kind = "platform_down", how = "nodes busy revoke meet", share = 0.34, for_s = 9.0',
    "platform-nodes-leader": 'kind = "platform_down", how = "nodes leader silent", count = 1, for_s = 7.0',
    "platform-nodes-many": 'kind = "platform_down", how = "nodes many", share = 0.5, for_s = 7.0',
    "platform-slow": 'kind = "platform_slow", x = 60.0, for_s = 6.0',
    "platform-lost": 'kind = "platform_lost", x = 0.4, for_s = 6.0',
    "platform-lost-late": 'kind = "platform_lost", x = 0.4, for_s = 6.0, how = "late"',
    "platform-compact": 'kind = "platform_compact", x = 5.5, for_s = 8.0',
    "platform-compact-drain": 'kind = "platform_compact", x = 3.0, for_s = 8.0, how = "drain"',
    "poison": 'kind = "poison", share = 0.3, for_s = 5.0',
    "applied-late": 'kind = "applied_late", x = 0.3, for_s = 6.0',
    "applied-late-all": 'kind = "applied_late", x = 0.3, for_s = 6.0, how = "all"',
    "applied-late-grants": 'kind = "applied_late", x = 0.3, for_s = 6.0, how = "grants"',
    "srv-cut": 'kind = "srv_cut", share = 0.2, for_s = 5.0',
    "srv-cut-some": 'kind = "srv_cut", share = 0.3, x = 0.3, for_s = 5.0, how = "some lossy"',
    "clock-step": 'kind = "clock_step", share = 0.4, x = 2000, for_s = 5.0, how = "ahead"',
    "clock-step-back": 'kind = "clock_step", share = 0.4, x = 2000, for_s = 5.0, how = "back"',
    "reset-conns": 'kind = "reset_conns", share = 0.4, x = 0.7',
    "cloud-down": 'kind = "cloud_down", for_s = 5.0, how = "silent"',
    "cloud-slow": 'kind = "cloud_slow", for_s = 5.0, x = 50.0',
}
PLANS = {
    "release": 'kind = "release", share = 0.6, x = 1.0, gap_s = 1.0',
    "scale-in": 'kind = "scale_in", share = 0.2',
    "scale-in-spot": 'kind = "scale_in", share = 0.2, how = "spot", x = 2.0',
    "scale-in-reclaim": 'kind = "scale_in", share = 0.2, how = "reclaim", x = 2.5, for_s = 6.0',
    "scale-out": 'kind = "scale_out", share = 0.25, gap_s = 1.0',
    "roll-term": 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 2.0',
    "roll-term-busy": 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 2.0, how = "busy"',
    "roll-term-remove": 'kind = "roll_term", share = 0.2, x = 1.0, gap_s = 2.0, how = "remove"',
    "hup": 'kind = "hup", share = 0.6, gap_s = 2.0',
    "config-route": 'kind = "config_change", how = "route"',
    "config-tenant": 'kind = "config_change", how = "tenant"',
    "config-timeout": 'kind = "config_change", how = "timeout"',
    "config-storm": 'kind = "config_storm", for_s = 4.0, gap_s = 0.33',
    "big-config": 'kind = "big_config", count = 400',
    "revoke": 'kind = "revoke", count = 3, gap_s = 0.5',
    "revoke-last": 'kind = "revoke", count = 3, gap_s = 0.5, how = "last"',
}
PAIRS = {
    "kill-while-slow": ("node-kill", "platform-slow"),
    "kill-while-lost": ("node-kill-race", "platform-lost-late"),
    "revoke-unreached": ("revoke", "platform-nodes-many"),
    "power-after-accept": ("herd-kill-taken", "after-ack-kill"),
    "cut-while-cancelled": ("node-cut-side", "give-up"),
    "lost-while-gangs-start": ("platform-lost-late", "burst"),
    "storm-while-rolling": ("config-storm", "roll-term-busy"),
    "compact-while-cut": ("platform-compact", "node-cut-meet"),
    "late-while-killed": ("applied-late", "node-kill-side"),
    "late-while-cut": ("applied-late-all", "node-cut-side"),
    "down-while-herd": ("platform-down-lapse", "herd-kill"),
    "leave-while-planner-cut": ("scale-in", "core-cut"),
    "grey-while-lost": ("srv-grey-errors", "platform-lost"),
    "freeze-while-down": ("node-freeze", "platform-down"),
}
# Kinds that only some sites support; @z0, @s0 and @c0 stand for a site's first
# zone, service and kind of request. Their seeds are counted separately, so that
# the seeds of the other days don't change.
MORE_FAULTS = {
    "srv-crash": 'kind = "srv_crash", service = "@s0", share = 0.2, for_s = 3.0',
    "srv-crash-rack": 'kind = "srv_crash", share = 0.2, for_s = 3.0, how = "rack"',
    "srv-crash-gone": 'kind = "srv_crash", share = 0.15, for_s = 4.5, how = "dark gone"',
    "srv-flap": 'kind = "srv_flap", share = 0.2, gap_s = 1.5, for_s = 8.0',
    "srv-lying": 'kind = "srv_lying_health", share = 0.2, how = "errors", for_s = 6.0',
    "shift": 'kind = "shift", zone = "@z0", to_zone = "@z1", share = 0.6, for_s = 6.0',
    "link-squeeze": 'kind = "link_squeeze", share = 0.2, x = 10.0, for_s = 6.0',
    "burst-class": 'kind = "burst", class = "@c0", x = 4.0, for_s = 5.0',
    "burst-zone": 'kind = "burst", zone = "@z0", x = 3.0, for_s = 5.0',
    "poison-class": 'kind = "poison", class = "@c0", share = 0.5, for_s = 5.0',
    "poison-long": 'kind = "poison", class = "@c0", share = 0.3, x = 4.0, how = "long", for_s = 5.0',
    "srv-slow-service": 'kind = "srv_slow", service = "@s0", share = 0.3, x = 5.0, for_s = 6.0',
    "herd-kill-joined": 'kind = "herd_kill", on = "side", share = 0.4, how = "power", for_s = 3.0',
}
MORE_PLANS = {
    "evacuate": 'kind = "evacuate", zone = "@z0", for_s = 8.0',
    "evacuate-warm": 'kind = "evacuate", zone = "@z1", for_s = 8.0, how = "warm"',
}
MORE_PAIRS = {
    "crash-while-killed": ("srv-crash", "node-kill"),
    "flap-while-poisoned": ("srv-flap", "poison-class"),
    "evacuate-while-killed": ("evacuate", "node-kill"),
    "evacuate-while-lost": ("evacuate", "platform-lost-late"),
    "freeze-while-burst": ("node-freeze", "burst-class"),
    "late-while-leaving": ("applied-late", "scale-in-spot"),
}
CLOSING = {
    "closing-power": '{ kind = "power_off_all", down_s = 1.0, how = "taken" }',
    "closing-timed": '{ kind = "power_off_all", down_s = 1.5, how = "timed" }',
    "closing-kill": '{ kind = "kill_all", down_s = 1.0 }',
}

def entry(name, at):
    text = {**FAULTS, **MORE_FAULTS, **PLANS, **MORE_PLANS}[name]
    return f"  {{ at = {at}, {text} }},"

def day(name, seed, events, closing=None):
    plan = [entry(n, at) for n, at in events if n in PLANS or n in MORE_PLANS]
    faults = [entry(n, at) for n, at in events if n in FAULTS or n in MORE_FAULTS]
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing: lines.append(f"closing = {closing}")
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    return "\n".join(lines) + "\n"

def main():
    here = os.path.join(os.path.dirname(__file__), "..", "deploy", "days")
    os.makedirs(here, exist_ok=True)
    days = {}
    for number, name in enumerate([*FAULTS, *PLANS]):
        days[name] = day(name, 1000 + number, [(name, 6.0), (name, 20.0)])
    for number, (name, pair) in enumerate(PAIRS.items()):
        days[name] = day(name, 2000 + number, [(pair[0], 6.0), (pair[1], 6.3), (pair[1], 19.0), (pair[0], 19.5)])
    for number, (name, closing) in enumerate(CLOSING.items()):
        days[name] = day(name, 3000 + number, [("burst", 25.0)], closing)
    for number, name in enumerate([*MORE_FAULTS, *MORE_PLANS]):
        days[name] = day(name, 4000 + number, [(name, 6.0), (name, 20.0)])
    for number, (name, pair) in enumerate(MORE_PAIRS.items()):
        days[name] = day(name, 5000 + number, [(pair[0], 6.0), (pair[1], 6.3), (pair[1], 19.0), (pair[0], 19.5)])
    for name, text in days.items():
        with open(os.path.join(here, name + ".toml"), "w") as file: file.write(text)
    print(f"{len(days)} days")
main()
