"""Numbers and start times of listed endpoints."""

import unittest

from peatlead.controller.endpoint_registry import EndpointRegistry
from peatlead.sources.endpoint_list import EndpointList, parse_list_document

from ..sources.documents import LIST_ENTRY, list_document
from ..standin_fleet import settings


class EndpointRegistryTest(unittest.TestCase):
    def test_the_start_time_of_a_process_does_not_change(self):
        registry = EndpointRegistry(
            [zone["name"] for zone in settings()["zone"]], lambda *_, **__: None
        )
        first = registry.endpoint_update(
            parse_list_document(list_document(LIST_ENTRY)), 1000.0
        ).endpoints[0]
        again = registry.endpoint_update(
            parse_list_document(list_document(LIST_ENTRY, version=2, written=130.0)), 1031.0
        ).endpoints[0]
        restarted = registry.endpoint_update(
            parse_list_document(
                list_document({**LIST_ENTRY, "started": 130.0}, version=3, written=131.0)
            ),
            1032.0,
        ).endpoints[0]
        self.assertEqual(
            (first.started_at, again.started_at, restarted.started_at), (950.0, 950.0, 1031.0)
        )
        self.assertEqual((first.id, restarted.id), (0, 0))

    def test_endpoints_of_unknown_zones_are_omitted(self):
        registry = EndpointRegistry(
            [zone["name"] for zone in settings()["zone"]], lambda *_, **__: None
        )
        endpoint_list = EndpointList(
            "whole",
            1,
            0.0,
            parse_list_document(list_document({**LIST_ENTRY, "zone": "mars"})).endpoints,
        )
        self.assertEqual(registry.endpoint_update(endpoint_list, 0.0).endpoints, ())

    def test_a_forgotten_endpoint_is_listed_again_under_a_new_number(self):
        registry = EndpointRegistry(["north"], lambda *_, **__: None)
        registry.endpoint_update(parse_list_document(list_document(LIST_ENTRY)), 1000.0)
        registry.forget_endpoint(0)
        self.assertEqual((registry.numbers, registry.entries), ({}, {}))
        again = registry.endpoint_update(
            parse_list_document(list_document(LIST_ENTRY, version=2, written=130.0)), 1031.0
        )
        self.assertEqual(
            [(endpoint.id, endpoint.started_at) for endpoint in again.endpoints], [(1, 951.0)]
        )
