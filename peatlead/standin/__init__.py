"""Test doubles of endpoints, DNS clients, resolvers, proxies and other peers of a controller.

They are written from the public specifications and share no protocol state with the controller.
"""
