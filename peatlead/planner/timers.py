"""The planner's two timers."""

TICK_TIMER = 0  # token of the periodic timer, which causes all changes that depend on time
TICK_INTERVAL = 0.1  # seconds
CONTINUE_TIMER = 1  # token of the timer that continues work that exceeded one batch
CONTINUE_DELAY = 0.01  # seconds, within which urgent events can be processed
