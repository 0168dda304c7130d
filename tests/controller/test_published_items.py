"""Published items, and their presentation to operators."""

import unittest

from peatlead.controller.published_items import ItemFormatter, line_items, weight_fractions

NORTH_LINE = "line/look/north/10.0.0.1:80"
SOUTH_LINE = "line/look/south/10.0.0.2:80"
FILE_LINE = "line/file/north/10.0.0.1:80"
ITEMS = {
    NORTH_LINE: 500,
    SOUTH_LINE: 1500,
    FILE_LINE: 1000,
    "level/look": 1_000_000,
    "retry/look": "once",
}


class PublishedItemsTest(unittest.TestCase):
    def setUp(self):
        self.formatter = ItemFormatter({"10.0.0.1": 7}, {7: "h7"}.__getitem__)

    def test_line_items_omit_admissions_and_retry_policies(self):
        self.assertEqual(list(line_items(ITEMS)), [NORTH_LINE, SOUTH_LINE, FILE_LINE])

    def test_weight_fractions_are_relative_to_the_request_class(self):
        self.assertEqual(
            weight_fractions(ITEMS), {NORTH_LINE: 0.25, SOUTH_LINE: 0.75, FILE_LINE: 1.0}
        )

    def test_an_item_names_the_endpoint_and_the_weight_as_listed(self):
        self.assertEqual(
            self.formatter.describe_item(NORTH_LINE, 500),
            {"item": "line/look", "host": "h7", "zone": "north", "value": 0.5},
        )

    def test_an_unlisted_endpoint_is_named_by_its_address(self):
        self.assertEqual(self.formatter.describe_item(SOUTH_LINE, None)["host"], "10.0.0.2")

    def test_items_other_than_lines_are_not_converted(self):
        self.assertEqual(
            self.formatter.describe_item("retry/look", "once"),
            {"item": "retry/look", "value": "once"},
        )

    def test_a_difference_has_both_values_and_fractions(self):
        after = {NORTH_LINE: 500, FILE_LINE: 1000}
        self.assertEqual(
            self.formatter.describe_difference(line_items(ITEMS), after),
            [
                {
                    "item": "line/look",
                    "host": "10.0.0.2",
                    "zone": "south",
                    "value": None,
                    "before": 1.5,
                    "part before": 0.75,
                    "part after": None,
                }
            ],
        )
