"""The planner's two timers."""

TICK_TIMER = 0  # token of the periodic timer for all changes that depend on time
TICK_INTERVAL = 0.1  # seconds
CONTINUE_TIMER = 1  # token of the timer that continues work that exceeded one batch
CONTINUE_DELAY = 0.01  # seconds; urgent events can be processed in between
