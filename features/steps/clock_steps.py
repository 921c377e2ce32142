"""Steps for the clock that includes the time of suspensions."""

from behave import given, then, when

from liftrill.clock import ElapsedClock


@given("a clock on a system {which}")
def step_clock(context, which):
    context.monotonic_s, context.elapsed_s = 1000.0, 5000.0
    counting = None if "does not" in which else lambda: context.elapsed_s
    context.clock = ElapsedClock(lambda: context.monotonic_s, counting)
    context.began_s = context.clock.now_s()


@when("the steady clock goes on by {steady:g} s and the other by {counted:g} s")
def step_pass(context, steady, counted):
    context.monotonic_s += steady
    context.elapsed_s += counted
    context.clock.now_s()


@then("{passed:g} s have passed, and {slept:g} s of them asleep")
def step_passed(context, passed, slept):
    assert abs(context.clock.now_s() - context.began_s - passed) < 0.01, context.clock.now_s()
    assert abs(context.clock.slept_s() - slept) < 0.01, context.clock.slept_s()
