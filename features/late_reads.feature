Feature: Closes that a busy event loop reads late

  Guards against sound answers that end with their connections, several at the same time, and are
  rejected because the node was busy between their last bytes and their closes: an engine whose
  process ends closes its connections some time after the last bytes, all at once.

  Scenario Outline: The time in which the loop did not look counts as the engine's: <loop>, <close> ms, busy <begin> to <end>
    Given an engine that closes its connection <close> ms after the last bytes of an answer
    When a <loop> loop reads the answer, and is busy from <begin> to <end> ms after these bytes
    Then the engine may have closed the connection <least> to <most> ms after them

    Examples: the loop is busy as the connection is closed
      | loop    | close | begin | end | least | most |
      | uvloop  | 5     | 0     | 80  | 0     | 15   |
      | asyncio | 5     | 0     | 80  | 0     | 15   |
      | uvloop  | 60    | 30    | 150 | 20    | 55   |
      | asyncio | 60    | 30    | 150 | 20    | 55   |

    Examples: it is not
      | loop    | close | begin | end | least | most |
      | uvloop  | 120   | 0     | 0   | 100   | 1000 |
      | asyncio | 120   | 0     | 0   | 100   | 1000 |
      | uvloop  | 120   | 0     | 40  | 100   | 1000 |

  Scenario: An observed loop is observed for good
    When answers that end with their connections are over
    Then nothing is left to run in the loop
