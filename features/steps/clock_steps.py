"""Steps for the elapsed clock, which includes the time of suspensions."""

from behave import given, then, when

from liftrill.clock import ElapsedClock


@given("an elapsed clock on a system {which}")
def step_clock(context, which):
    context.monotonic_s, context.elapsed_s = 1000.0, 5000.0
    boot_clock = None if "does not" in which else lambda: context.elapsed_s
    context.clock = ElapsedClock(lambda: context.monotonic_s, boot_clock)
    context.began_s = context.clock.now_s()


@when("the monotonic clock advances by {monotonic:g} s and the time since boot by {boot:g} s")
def step_advance(context, monotonic, boot):
    context.monotonic_s += monotonic
    context.elapsed_s += boot
    context.clock.now_s()


@then("the elapsed clock has advanced by {passed:g} s, {suspended:g} s of them in suspension")
def step_advanced(context, passed, suspended):
    assert abs(context.clock.now_s() - context.began_s - passed) < 0.01, context.clock.now_s()
    assert abs(context.clock.slept_s() - suspended) < 0.01, context.clock.slept_s()
