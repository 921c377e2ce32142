Feature: What answers at an engine's address is not taken for the engine

  Guards against decisions on an engine that has ended, whose address accepts connections again.

  Scenario Outline: The next incarnation at an address is taken for the engine that lost a run: <route>, <how>
    Given 2 model engines in processes of their own, whose answers end with a last chunk, and whose supervisors keep their ports open, and that hold copies
    When 24 streams on "<route>" begin within 0.6 s, and another engine answers on the socket of one that is <how>
    Then no stream looks complete that is not
    And all those streams are whole
    And each interrupted stream was lost by an engine that is "ended"

    Examples:
      | route  | how    |
      | stream | reset  |
      | stream | killed |
      | resume | reset  |
      | resume | killed |

  Scenario Outline: The port of a killed engine stays open and silent, and its runs are taken for ones that go on: <route>, <how>
    Given 2 model engines in processes of their own, whose answers end with a last chunk, and whose supervisors keep their ports open, and that hold copies
    When 24 streams on "<route>" with 4.9 s left begin within 0.6 s, and an engine is <how>
    Then no stream looks complete that is not
    And all those streams are whole
    And each interrupted stream was lost by an engine that is "ended"

    Examples:
      | route  | how    |
      | stream | reset  |
      | stream | killed |
      | resume | reset  |
      | resume | killed |

  Scenario Outline: The silence of an engine that lost connections is taken for its end: <lost>, <kept>, <path>
    Given an engine whose address answers probes with "accepted", and questions with "silence"
    And <lost> of its streams are lost <path>, while <kept> that it wrote to before are open
    When a stream is lost there
    Then its engine is "<evidence>", found within 2 s, and its end is reported as "none"

    Examples:
      | lost | kept | path             | evidence |
      | 1    | 0    | directly         | ended    |
      | 0    | 0    | directly         | unknown  |
      | 3    | 1    | directly         | unknown  |
      | 3    | 0    | by a peer        | unknown  |

  Scenario Outline: Accepted probes are taken for the engine that lost a run: <probes>, <replies>
    Given an engine whose address answers probes with "<probes>", and questions with "<replies>"
    When a <run> is lost there
    Then its engine is "<evidence>", found within <seconds> s, and its end is reported as "<end>"

    Examples:
      | run    | probes                    | replies    | evidence  | seconds | end      |
      | stream | accepted                  | same       | running   | 0.5     | none     |
      | stream | accepted                  | possible   | running   | 0.5     | none     |
      | stream | accepted                  | other      | ended     | 0.5     | replaced |
      | stream | accepted                  | none other | ended     | 0.5     | replaced |
      | stream | accepted                  | silence    | unknown   | 2.0     | none     |
      | stream | accepted accepted refused | refused    | ended     | 0.5     | refused  |
      | stream | accepted                  | refused    | unknown   | 0.5     | none     |
      | stream | accepted refused          | same       | ended     | 0.5     | refused  |
      | stream | accepted unanswered       | same       | unreached | 0.5     | none     |
      | answer | accepted                  | same       | running   | 0.5     | none     |
      | answer | accepted                  | other      | ended     | 0.5     | replaced |
      | answer | accepted                  | silence    | unknown   | 0.5     | none     |

  Scenario Outline: The open port of a killed engine is taken for the end of an answer that a peer passes on: <how>, <route>
    Given 2 model engines in processes of their own, whose answers end with their connection, and whose supervisors keep their ports open
    And the links of the nodes to engines can be cut
    And the first node reaches no engine, and sends its streams by the second
    When 24 streams on "<route>" begin within 0.6 s, and an engine is <how>
    Then no stream looks complete that is not
    And a peer passed on streams of that engine

    Examples:
      | how                       | route  |
      | killed                    | stream |
      | killed, and started again | stream |
      | killed                    | resume |

  Scenario Outline: A request that crashes engines is not found if they start again within a second: <run>, <replies>
    Given an engine whose address answers probes with "accepted", and questions with "<replies>"
    When a <run> that had just begun ends with its engine
    Then the request is suspected of the crash

    Examples:
      | run    | replies   |
      | stream | other     |
      | stream | other@0.7 |
      | answer | other     |
      | answer | other@0.7 |

  Scenario Outline: The next incarnation of an engine counts as the announcement of its end: <meanwhile>
    Given a recorded engine, whose address is answered by another incarnation after 0.03 s
    When the engine closes a response right after its last bytes, and meanwhile <meanwhile>
    Then the response counts as <result>, also with a last chunk

    Examples:
      | meanwhile                                         | result      |
      | nothing changes                                   | interrupted |
      | the record of the next incarnation is read        | interrupted |
      | another stream finds the next incarnation         | interrupted |
      | a request is misdirected to the next incarnation  | interrupted |
      | its record says that it drains                    | complete    |
      | its record is removed                             | complete    |
