Feature: No answer looks whole that is not, however its engine ends it

  Scripts of what one engine writes are drawn, with pauses, early ends, resets, ends of its process
  and processes that replace it at its address. They are played against a node, and strict callers,
  which know what was sent, read the answers. `python -m features.soak.response_fuzz` plays more.

  Scenario: Drawn answers and their ends deceive callers
    When drawn scripts of answers are played for 20 s, with seed 1
    Then no answer was wrong, in 10 plays or more

  Scenario: A plain stream is complete at an early last chunk, as its engine ends and the port is silent
    When the script "a silent port after an early last chunk" is played 2 times
    Then no answer of these was wrong

  Scenario: A whole answer is complete at an early last chunk
    When the script "an early last chunk of a whole answer" is played 10 times
    Then no answer of these was wrong

  Scenario: An engine without a start time is replaced, and its answer is complete
    When the script "replaced without a start time" is played 10 times
    Then no answer of these was wrong

  Scenario: A stream goes on at the other version that replaced an engine without a start time
    When the script "another version without a start time" is played 10 times
    Then no answer of these was wrong

  Scenario: A stream begins at another version before its record, and goes on at the recorded one
    When the script "begun before the record" is played 10 times
    Then no answer of these was wrong
