# Guards against refusals by a decision that would not refuse: a request whose time to wait ended
# before the decision on its part was refused, whatever the evidence showed.
Feature: A prompt whose time to wait ends before the decision on its part is judged by what is known

  # In virtual time: one node with six engines, which knows from a report that an engine ended early
  # under a prompt with the part "dead" 0.7 s ago.
  Background:
    Given a node that knows of an engine that ended under a prompt with the part "dead"
    And requests that may wait for an engine for 0.06 s

  # Two early ends do not condemn a part while engines end without it, nor a part that came with
  # another one each time in prompts without that.
  Scenario Outline: A prompt whose time to wait ends before the decision is sent if <why>
    When <event>
    And 0.01 s later a prompt with the part "<part>" arrives
    Then the prompt is sent within 0.06 s of its arrival

    Examples:
      | why                                  | event                                                           | part  |
      | the evidence does not condemn it yet | engines ended under the part "dead" and without it              | dead  |
      | another part came with it each time  | engines ended three times under prompts with "dead" and "other" | other |

  Scenario: A prompt whose time to wait ends before the decision is refused if the evidence condemns it
    When engines ended three times under prompts with "dead" and "other"
    And 0.01 s later a prompt with the part "dead,other" arrives
    Then the prompt is sent to no engine, and refused as not run
