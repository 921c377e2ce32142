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
