"""A controller that speaks the platform's protocol (docs/operators/platform.md)."""
