# Guards against a further engine that crashes because a node notices the end of an engine before
# it receives the report of the prompt: four engines crashed on a part where three may.
Feature: A prompt with a suspect part is not sent on before the report on an engine that just ended

  # In virtual time: one node with six engines, which knows from a report that an engine ended early
  # under a prompt with the part "dead" 0.7 s ago. Requests may wait for an engine for 0.16 s.
  Background:
    Given a node that knows of an engine that ended under a prompt with the part "dead"

  Scenario Outline: A prompt that arrives between the end of an engine and its report is sent to none
    When the node sees that <sign>
    And 0.01 s later a prompt with the part "dead" arrives
    And 0.02 s later another node reports that the engine ended under a prompt with the part "dead"
    Then the prompt is sent to no engine, and refused because its part crashes engines

    Examples:
      | sign                               |
      | its link to an engine went down    |
      | an engine has ended                |
      | another node found an engine ended |

  Scenario: A prompt whose time to wait ends after the report and before the decision is sent to none
    Given requests that may wait for an engine for 0.06 s
    When the node sees that its link to an engine went down
    And 0.01 s later a prompt with the part "dead" arrives
    And 0.02 s later another node reports that the engine ended under a prompt with the part "dead"
    Then the prompt is sent to no engine, and refused as not run

  # A part with fewer lost requests than "dead", which came with another prompt.
  Scenario: A prompt waits for the report on each of its suspect parts
    When the node sees that an engine has ended under the part "rare"
    And 0.01 s later a prompt with the part "rare,dead" arrives
    And 0.02 s later another node reports that the engine ended under a prompt with the part "dead"
    Then the prompt is sent to no engine, and refused because its part crashes engines

  Scenario: A prompt that finds its engine ended waits for the report before it is sent to another
    Given engines that refuse connections
    When a prompt with the part "dead" arrives
    And 0.02 s later another node reports that the engine ended under a prompt with the part "dead"
    Then the prompt is sent to 1 engine, and refused because its part crashes engines

  # A request whose time to wait ended at the same time was refused instead of sent.
  Scenario Outline: A prompt is sent if no report comes, and is never refused for its wait
    Given requests that may wait for an engine for <patience> s
    When the node sees that its link to an engine went down
    And 0.01 s later a prompt with the part "dead" arrives
    Then the prompt is sent within <seconds> s of its arrival

    Examples:
      | patience | seconds |
      | 0.0      | 0.0     |
      | 0.05     | 0.05    |
      | 0.11     | 0.11    |
      | 0.16     | 0.13    |
      | 1.0      | 0.13    |

  Scenario Outline: A prompt is sent in time although links go down one after another
    Given requests that may wait for an engine for <patience> s
    When a link to an engine goes down every 0.03 s
    And a prompt with the part "dead" arrives
    Then the prompt is sent within <patience> s of its arrival

    Examples:
      | patience |
      | 0.11     |
      | 0.16     |
      | 0.2      |

  Scenario: A prompt is sent once an engine has served its part
    When the node sees that its link to an engine went down
    And 0.01 s later a prompt with the part "dead" arrives
    And 0.02 s later another node reports that an engine served the part "dead"
    Then the prompt is sent within 0.09 s of its arrival

  Scenario Outline: Nothing waits <when>
    When the node sees that <event>
    And <later> s later a prompt with the part "<part>" arrives
    Then the prompt is sent within 0.0 s of its arrival

    Examples:
      | when                            | event                              | later | part  |
      | without a suspect part          | its link to an engine went down    | 0.01  | sound |
      | while no engine ends            | nothing has changed                | 0.01  | dead  |
      | once the report is overdue      | its link to an engine went down    | 0.11  | dead  |
      | once the report has come        | a link went down under a new part  | 0.01  | new   |
      | for an engine that is restored  | a link went down and up again      | 0.01  | dead  |
      | for an engine that was leaving  | a leaving engine has ended         | 0.01  | dead  |
      | for an engine of other services | another service's engine has ended | 0.01  | dead  |

  Scenario: A request that failed at one engine is repeated at once
    Given a prompt with the part "dead" that may be repeated, which its first engine fails
    When its link to another engine goes down before the failure
    Then the prompt is sent to 2 engines

  Scenario: A stream that was interrupted goes on at its engine at once
    When the node sees that its link to an engine went down
    Then a stream with the part "dead" at another engine goes on there
