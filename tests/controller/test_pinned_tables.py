"""Pinned tables in controllers on real sockets, and in a simulated fleet."""

import asyncio
import unittest

import msgspec
import zstandard

from peatlead.controller.control_socket import Question
from peatlead.lab.day import play_day
from peatlead.scenario.script import load_day

from ..standin_fleet import run_with_standins, until


def ask_tables(controller, do, **args):
    """Return a controller's answer to a `tables` question."""
    return controller.publication.answer(Question("tables", do=do, args=args))


class RunningControllerTest(unittest.TestCase):
    """A controller with DNS views, an endpoint list and stand-in endpoints."""

    def test_a_rollback_restores_the_old_table_without_draining_endpoints(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            version_before = ask_tables(controller, "show", proxy="desk0")["version"]
            world.phases["h0"] = "draining"
            world.write_list()
            await until(lambda: world.answered_endpoints(controller) == {"h1", "h2", "h3"})
            log = ask_tables(controller, "log", proxy="desk0")["versions"]
            self.assertTrue(
                any(
                    "h0" in cause and "drains" in cause
                    for version in log
                    for cause in version["causes"]
                ),
                log,
            )
            diff = ask_tables(
                controller, "diff", proxy="desk0", one=version_before, other=log[-1]["version"]
            )["changes"]
            self.assertIn(("h0", None), [(change["host"], change["value"]) for change in diff])
            dry_run = ask_tables(
                controller,
                "pin",
                dry=True,
                whom="proxy",
                which="view:desk0",
                target="version",
                to=version_before,
            )
            self.assertEqual(dry_run["each"][0]["taken"], {"h0": "drains"})
            self.assertFalse(controller.publication.pins.by_id)
            ask_tables(
                controller,
                "pin",
                whom="proxy",
                which="view:desk0",
                target="version",
                to=version_before,
                over=0.0,
            )
            world.phases["h1"] = "draining"
            world.write_list()
            await until(lambda: world.answered_endpoints(controller) == {"h2", "h3"})
            self.assertEqual(ask_tables(controller, "show", proxy="desk0")["pinned by"], "ns1-1")

        run_with_standins(case)

    def test_a_rollback_to_a_drained_zone_keeps_the_planned_endpoints(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            version_before = ask_tables(controller, "show", proxy="desk1")["version"]
            world.phases.update(h1="draining", h3="draining")  # all endpoints of desk1's zone
            world.write_list()
            await until(lambda: world.answered_endpoints(controller, "desk1") == {"h0", "h2"})
            ask_tables(
                controller,
                "pin",
                whom="proxy",
                which="view:desk1",
                target="version",
                to=version_before,
                over=0.0,
            )
            await until(lambda: controller.publication.applied_pins)
            dry_run = ask_tables(
                controller, "pin", dry=True, whom="zone", which="south", target="back", to="60"
            )
            self.assertFalse(dry_run.get("error"))
            self.assertEqual(world.answered_endpoints(controller, "desk1"), {"h0", "h2"})

        run_with_standins(case)

    def test_new_endpoints_enter_only_after_the_pin_ends(self):
        async def case(world):
            world.phases.pop("h3")
            world.write_list()
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 3)
            pin = ask_tables(controller, "pin", whom="all", over=0.0, by="test")["pin"]
            world.phases["h3"] = "ready"
            world.write_list()
            number = controller.views.by_name["desk0"].number
            await until(lambda: len(controller.planned_tables(number)[0][1]) == 4)
            self.assertEqual(len(ask_tables(controller, "show", proxy="desk0")["items"]), 3)
            self.assertEqual(ask_tables(controller, "status")["pins"][0]["by"], "test")
            ask_tables(controller, "resume", pin=pin, over=0.0)
            await until(lambda: len(ask_tables(controller, "show", proxy="desk0")["items"]) == 4)

        run_with_standins(case)

    def test_a_pin_and_its_target_survive_a_restart(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            pin = ask_tables(controller, "pin", whom="all", over=0.0)["pin"]
            await until(lambda: controller.publication.applied_pins)
            version_count = controller.publication.store.entry_count
            # A killed controller closes nothing.
            controller.publication.table_log.close = lambda: None
            controller.stop()
            await asyncio.sleep(0.05)  # until the loop has closed its sockets
            restarted = await world.start_controller()
            self.assertIn(pin, restarted.publication.pins.unended())
            self.assertGreaterEqual(restarted.publication.store.entry_count, version_count)
            await until(lambda: len(world.answered_endpoints(restarted)) == 4)
            self.assertEqual(ask_tables(restarted, "status")["pins"][0]["target not known"], [])

        run_with_standins(case)

    def test_a_restarted_controller_refuses_a_list_older_than_the_stored_one(self):
        # After a restart an older list must not bring a drained endpoint back into answers.
        async def case(world):
            controller = await world.start_controller()
            old_list = (world.folder / "nodes.json").read_bytes()
            world.phases["h0"] = "draining"
            world.write_list()
            await until(lambda: world.answered_endpoints(controller) == {"h1", "h2", "h3"})
            controller.stop()
            await asyncio.sleep(0.05)
            world.write_list(old_list)
            restarted = await world.start_controller()
            await until(lambda: any(event == "older list ignored" for event, _ in world.log))
            await until(lambda: world.answered_endpoints(restarted) == {"h1", "h2", "h3"})

        run_with_standins(case)

    def test_invalid_questions_get_an_error_and_change_nothing(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            for do, args in (
                ("x", {}),
                ("show", {}),
                ("show", {"proxy": "nobody"}),
                ("resume", {"pin": "ns9-9"}),
                ("show", {"proxy": "desk0", "version": "99.9"}),
                ("pin", {"whom": "all", "to": "x", "target": "back"}),
                ("diff", {"proxy": "desk0", "one": "", "other": ""}),
                ("log", {"since": "x"}),
            ):
                self.assertIn("error", ask_tables(controller, do, **args), (do, args))
            self.assertFalse(controller.publication.pins.by_id)

        run_with_standins(case)


def play_scenario(text, seed):
    """Play a script on a simulated fleet of three controllers."""
    base = (
        "fleet(zones = ['a', 'b'], hosts = 8, warm_after = 5)\ndesks(views = 0, shared = 0)\n"
        "agents(many = 10, rate = 40, incremental = True)\n"
    )
    return play_day(load_day("test", "day(length = 16, stewards = 3)\n" + base + text), seed)


class FleetTest(unittest.TestCase):
    """Rollbacks in a fleet of three controllers on simulated time break no invariant."""

    def play_without_breach(self, text, seed=1, pins=1):
        """Play a script, and check that no invariant is broken and how many pins were made."""
        result = play_scenario(text, seed)
        self.assertEqual(result.problems, [])
        self.assertEqual(len([row for row in result.rows if row.kind == "pin"]), pins)
        return result

    def test_a_rollback_to_before_a_release_whose_old_endpoints_are_gone(self):
        self.play_without_breach(
            "release(at = 2, length = 6, part = 1.0, at_once = 0.3)\n"
            "rollback(at = 11, length = 4, back = 10, over = 0)"
        )

    def test_a_rollback_with_a_takeover_during_its_rollout(self):
        self.play_without_breach(
            "rollback(at = 4, length = 8, back = 2, over = 4)\n"
            "steward_killed(at = 6, length = 5, steward = 0)\npod_restart(at = 3)"
        )

    def test_the_history_of_a_former_owner_is_used(self):
        result = self.play_without_breach(
            "release(at = 2, length = 4, part = 0.4)\n"
            "steward_frozen(at = 5, length = 3, steward = 1)\n"
            "rollback(at = 9, length = 5, back = 6, over = 1)"
        )
        moved_proxies = {
            row.agent
            for row in result.rows
            if row.kind == "stream" and row.what == "lost" and row.at < 12
        }
        self.assertTrue(moved_proxies)  # proxies that have a new owner
        self.assertEqual([event for _, _, event, _ in result.logs if "not known" in event], [])

    def test_malformed_target_messages_are_refused(self):
        async def case(world):
            controller = await world.start_controller()
            for malformed in (
                b"",
                b"junk",
                zstandard.compress(b"x"),
                zstandard.compress(b"\0" * 3_000_000),
                zstandard.compress(msgspec.msgpack.encode(["ns1-1", "a", 1, 1, {"line/x": 1}])),
            ):
                controller.publication.receive_target(malformed)
            self.assertEqual(sum(event == "pin target refused" for event, _ in world.log), 5)
            self.assertFalse(controller.publication.announced_targets)

        run_with_standins(case)

    def test_a_rollback_of_a_rollback_by_two_controllers_at_once(self):
        self.play_without_breach(
            "release(at = 1.5, length = 6, part = 0.5)\nrollback(at = 5, length = 6, back = 2, over = 1)\n"
            "rollback(at = 7, length = 6, back = 3, over = 1, steward = 1)\n"
            "rollback(at = 7, length = 5, back = 1, over = 0, steward = 2)",
            pins=3,
        )

    def test_a_rollback_during_the_silence_of_a_zone(self):
        self.play_without_breach(
            "silent(at = 4, length = 9, part = 1.0, zone = 'a')\n"
            "rollback(at = 7, length = 6, back = 4, over = 1)"
        )

    def test_after_the_pin_ends_all_proxies_are_on_the_planners_tables(self):
        result = self.play_without_breach(
            "rollback(at = 3, length = 4, back = 0, over = 1)\n"
            "release(at = 4, length = 6, part = 0.4)"
        )
        held_rows = {row.agent: row for row in result.rows if row.kind == "held"}
        self.assertEqual(len(held_rows), 10)
