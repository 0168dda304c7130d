"""The controller on the platform's protocol (docs/operators/platform.md)."""
