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
