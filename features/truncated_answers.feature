Feature: An answer that is cut short by the end of its engine is not taken for complete

  Guards against answers without a length or chunks whose connection the kernel closes in order as
  their engine's process ends, so that they look complete.

  Scenario Outline: An engine ends under streams that look complete: <framing>, <how>, <route>
    Given 4 model engines in processes of their own, whose answers end with <framing>
    When 36 streams on "<route>" begin within 1.2 s, and an engine is <how>
    Then no stream looks complete that is not
    And <others>

    Examples:
      | framing          | how                 | route  | others                               |
      | their connection | killed              | resume | all streams are whole                |
      | their connection | killed              | stream | only streams of that engine broke off |
      | their connection | reset               | resume | all streams are whole                |
      | their connection | reset               | stream | only streams of that engine broke off |
      | their connection | killed as it leaves | resume | all streams are whole                |
      | their connection | killed as it leaves | stream | only streams of that engine broke off |
      | a last chunk     | killed              | resume | all streams are whole                |
      | a last chunk     | killed              | stream | only streams of that engine broke off |
      | a length         | killed              | resume | all streams are whole                |

  Scenario: A leaving engine is killed under one stream of each of two nodes, and both say whole
    Given 1 model engines in processes of their own, whose answers end with their connection
    And 4 further nodes
    When 6 engines in turn get one stream on "stream" from each of two nodes, and are killed as they leave right after a piece
    Then no stream looks complete that had another beside it

  Scenario Outline: The silence of a peer is taken for a report that no other response ended: <peers>, <requests>, <does>
    Given a leaving engine and <peers> peers, of which one reported <requests> there and <does>
    When a node whose response ended asks whether others ended at the same time
    Then it learns "<result>" within <seconds> s
    And it asked <asked> peers

    Examples:
      | peers | requests    | does                          | result  | seconds | asked |
      | 5     | requests    | had one end 3 ms before       | some    | 0.1     | 5     |
      | 5     | no requests | had one end 6 ms later, 5 ms after bytes | some | 0.1 | 5 |
      | 5     | no requests | had one end 7 ms later, at once after bytes | none | 0.1 | 5 |
      | 5     | requests    | had one end 200 ms before     | none    | 0.1     | 5     |
      | 5     | requests    | had one end 200 ms later      | none    | 0.1     | 5     |
      | 5     | requests    | gets the second question only | none    | 0.2     | 5     |
      | 5     | requests    | does not answer               | unknown | 0.6     | 5     |
      | 5     | no requests | does not answer               | none    | 0.3     | 5     |
      | 40    | requests    | had one end 3 ms before       | some    | 0.1     | 1     |
      | 40    | requests    | does not answer               | unknown | 0.6     | 1     |

  Scenario: Nothing tells how it was decided whether an answer without a length is complete
    Given 4 model engines in processes of their own, whose answers end with their connection
    When 36 streams on "stream" begin within 1.2 s, and an engine is killed
    Then each answer that ended with its connection is logged and counted with its evidence

  Scenario Outline: Streams without a length are lost as their engines leave and exit after the last byte: <route>
    Given 6 model engines in processes of their own, whose answers end with their connection
    When 50 streams on "<route>" begin within 1.2 s, and all engines but one leave
    Then all 50 streams are whole

    Examples:
      | route  |
      | resume |
      | stream |

  Scenario: Answers without a length are lost as their engines leave and exit after the last byte
    Given 6 desk engines in processes of their own, whose answers end with their connection
    When 50 clients post to "/whole/x", and all engines but one leave
    Then all 50 answers are whole

  Scenario Outline: An engine is killed under answers that end with their connection: <path>
    Given 4 desk engines in processes of their own, whose answers end with their connection
    When 36 clients post to "<path>", and an engine is killed half-way
    Then no success lacks a part of its body

    Examples:
      | path     |
      | /whole/x |
      | /safe/x  |

  Scenario: The next incarnation at an engine's address is taken for the one that closed its connections
    Given 4 model engines in processes of their own, whose answers end with their connection
    When 36 streams on "stream" begin within 1.2 s, and an engine starts again at its address while the nodes stand still
    Then no stream looks complete that is not

  Scenario: An engine is killed under streams of which others hold copies
    Given 4 model engines in processes of their own, whose answers end with their connection, and that hold copies
    When 36 streams on "stream" begin within 1.2 s, and an engine is killed
    Then no stream looks complete that is not
    And all streams are whole

  Scenario Outline: The port of a killed engine, which its supervisor keeps open, is taken for the engine: <how>, <route>
    Given 2 model engines in processes of their own, whose answers end with their connection, and whose supervisors keep their ports open
    When 24 streams on "<route>" begin within 0.6 s, and an engine is <how>
    Then no stream looks complete that is not
    And <others>

    Examples:
      | how                         | route  | others                                |
      | killed                      | stream | only streams of that engine broke off |
      | killed                      | resume | all streams are whole                 |
      | killed, and started again   | stream | only streams of that engine broke off |
      | killed, and started again   | resume | all streams are whole                 |

  Scenario: The port of a killed engine, which its supervisor keeps open, is taken for the engine: whole answers
    Given 2 desk engines in processes of their own, whose answers end with their connection, and whose supervisors keep their ports open
    When 24 clients post to "/whole/x", and an engine is killed half-way
    Then no success lacks a part of its body

  Scenario Outline: What listens at an engine's address is taken for the engine: <replies>, <port>, <connections>
    Given an engine asked for its incarnation, which replies "<replies>"
    And its port <port>, with <connections>
    When a response of it was closed in order, and its caller waits for <left> s
    Then the engine counts as "<evidence>" within <seconds> s

    Examples:
      | replies                | port    | connections          | left | evidence | seconds |
      | same                   | accepts | no other connection  | 4    | running  | 0.04    |
      | same after 0.3 s       | accepts | no other connection  | 4    | running  | 0.4     |
      | same after 1 s         | accepts | no other connection  | 4    | running  | 1.1     |
      | same after 3 s         | accepts | no other connection  | 4    | running  | 3.1     |
      | none, none, same       | accepts | no other connection  | 4    | running  | 0.3     |
      | none                   | accepts | one open since before | 4   | running  | 0.1     |
      | refused                | accepts | one open since before | 4   | running  | 0.1     |
      | refused, same          | accepts | no other connection  | 4    | running  | 0.3     |
      | possible               | accepts | no other connection  | 4    | running  | 0.04    |
      | other                  | accepts | no other connection  | 4    | ended    | 0.04    |
      | refused, other         | accepts | no other connection  | 4    | ended    | 0.3     |
      | refused                | refuses | no other connection  | 4    | ended    | 0.3     |
      | none                   | refuses | no other connection  | 4    | ended    | 0.3     |
      | refused, possible      | accepts | no other connection  | 4    | unknown  | 0.3     |
      | none                   | accepts | no other connection  | 1    | unknown  | 1.3     |
      | none                   | accepts | another response that ended at once | 1 | ended | 1.3 |
      | possible               | accepts | another response that ended at once | 1 | ended | 0.1 |
      | same                   | accepts | another response that ended at once | 1 | running | 0.4 |
      | same, same, refused    | refuses | another response that ended at once | 4 | ended | 0.6 |
      | same, same, other      | accepts | another response that ended at once | 4 | ended | 0.4 |
      | same                   | accepts | others that ended in step | 1 | running | 0.04 |
      | same                   | accepts | others as late, which this node did not read | 1 | running | 0.04 |
      | none                   | accepts | others that ended in step | 1  | unknown  | 1.3     |
      | none                   | accepts | another, later after its bytes | 1 | ended | 1.3 |
      | possible               | accepts | others that ended in step | 1  | running  | 0.1     |
      | possible               | accepts | others as late, which this node did not read | 1 | running | 0.1 |
      | possible               | accepts | others as late, whose ends were marked | 1 | running | 0.1 |
      | none                   | accepts | others as late, whose ends were marked | 1 | unknown | 1.3 |
      | other                  | accepts | others as late, whose ends were marked | 1 | ended | 0.1 |
      | none                   | accepts | one opened while the close was not seen | 1 | unknown | 1.3 |
      | none                   | accepts | one used before its caller was slow | 1 | running | 0.1 |

  Scenario Outline: Responses of a leaving engine that end in turn are taken for ended by its process: <other>
    Given a leaving engine that has ended
    When a response of it is closed in order 1 ms after its last bytes, and another one <other>
    Then the first one <result> complete

    Examples:
      | other                                            | result |
      | was closed 6 ms before                           | is     |
      | was closed 6 ms later, 1 ms after its bytes      | is     |
      | was closed 2 ms before                           | is not |
      | was closed 6 ms later, 5 ms after its bytes      | is not |
      | was closed 6 ms later, and was not read for 9 ms | is not |
      | was closed at an unknown time                    | is not |
      | was lost                                         | is not |
