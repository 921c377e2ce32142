Feature: Engines that end if they reject too many requests

  Guards against nodes that together send a brittle engine more than it has room for, so that it
  ends, comes back and is flooded again, and against engines that are left idle for fear of that.

  Scenario Outline: Brittle engines fall over again and again
    Given a stand-in platform with 4 <kind> engines of 4 places that let 3 wait, brittle from the <when>
    And <nodes> nodes
    When 40 callers call all nodes without pause for 10 s
    Then the engines fell over at most 2 times
    And from the third second on they did at least <share> of what they can
    And callers that were refused were told when to come back, within 0.6 s

    Examples:
      | kind | nodes | when  | share |
      | desk | 5     | start | 0.5   |
      | llm  | 3     | start | 0.5   |
      | desk | 10    | third second | 0.5   |

  Scenario Outline: Nodes reject more together than one of them sees, in virtual time
    Given <nodes> nodes that share a brittle engine of <slots> slots, with <loss> of the datagrams lost
    When callers ask for three times what it can do for 20 s, and <event>
    Then it rejects at most <most> in any second
    And it is used for at least <share> of its time

    Examples:
      | nodes | slots | loss | event                       | most | share |
      | 5     | 4     | 0.0  | nothing happens             | 0    | 0.9   |
      | 12    | 4     | 0.02 | nothing happens             | 1    | 0.85  |
      | 86    | 6     | 0.02 | nothing happens             | 1    | 0.75  |
      | 12    | 64    | 0.02 | nothing happens             | 1    | 0.85  |
      | 12    | 4     | 0.02 | the issuer ends after 8 s   | 3    | 0.7   |
      | 86    | 6     | 0.02 | its slots halve after 8 s   | 3    | 0.35  |
