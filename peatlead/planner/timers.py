"""The planner's two timers."""

TICK_TIMER = 0  # token of the timer that paces everything that time alone brings
TICK_INTERVAL = 0.1  # seconds
CONTINUE_TIMER = 1  # token of the timer that goes on with what one batch was too short for
CONTINUE_DELAY = 0.01  # seconds, in which urgent events can come between
