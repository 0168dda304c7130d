"""Items of published tables as operators read them."""

import unittest

from peatlead.controller.published_items import ItemFormatter, line_items, weight_fractions

HALF = "line/look/north/10.0.0.1:80"
OTHER_HALF = "line/look/south/10.0.0.2:80"
OTHER_CLASS = "line/file/north/10.0.0.1:80"
ITEMS = {
    HALF: 500,
    OTHER_HALF: 1500,
    OTHER_CLASS: 1000,
    "level/look": 1_000_000,
    "retry/look": "once",
}


class PublishedItemsTest(unittest.TestCase):
    def setUp(self):
        self.formatter = ItemFormatter({"10.0.0.1": 7}, {7: "h7"}.__getitem__)

    def test_only_lines_are_line_items(self):
        self.assertEqual(list(line_items(ITEMS)), [HALF, OTHER_HALF, OTHER_CLASS])

    def test_fractions_are_of_a_request_class(self):
        self.assertEqual(weight_fractions(ITEMS), {HALF: 0.25, OTHER_HALF: 0.75, OTHER_CLASS: 1.0})

    def test_an_item_names_the_endpoint_and_the_weight_as_listed(self):
        self.assertEqual(
            self.formatter.item(HALF, 500),
            {"item": "line/look", "host": "h7", "zone": "north", "value": 0.5},
        )

    def test_an_unlisted_endpoint_is_named_by_its_address(self):
        self.assertEqual(self.formatter.item(OTHER_HALF, None)["host"], "10.0.0.2")

    def test_other_items_are_as_they_are(self):
        self.assertEqual(
            self.formatter.item("retry/look", "once"), {"item": "retry/look", "value": "once"}
        )

    def test_a_difference_has_both_values_and_fractions(self):
        after = {HALF: 500, OTHER_CLASS: 1000}
        self.assertEqual(
            self.formatter.difference(line_items(ITEMS), after),
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
