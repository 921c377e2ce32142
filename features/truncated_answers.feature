Feature: An answer that is cut short by the end of its engine is not taken for complete

  Guards against answers without a length or chunks whose connection the kernel closes in order as
  their engine's process ends, so that they look complete.

  Scenario: An engine is killed under streams that end with their connection
    Given 4 model engines in processes of their own, whose answers end with their connection
    When 36 streams on "resume" begin within 1.2 s, and an engine is killed
    Then no stream looks complete that is not
    And 36 streams are whole, and the others broke off

  Scenario: An engine is killed under streams of which others hold copies
    Given 4 model engines in processes of their own, whose answers end with their connection, and that hold copies
    When 36 streams on "stream" begin within 1.2 s, and an engine is killed
    Then no stream looks complete that is not
    And 36 streams are whole, and the others broke off
