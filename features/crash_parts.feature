# Guards against nodes that recognize only whole requests as the cause of crashes: one part of a
# prompt crashes engines, and each request that contains it has another body and another last part.
Feature: Parts of prompts that crash engines

  Scenario: A part in the middle of prompts stops crashing engines at all nodes
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with the part third of four are sent for 10 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario Outline: A part stops crashing engines wherever it is: <position>
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with the part <position> are sent for 8 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

    Examples:
      | position       |
      | second of four |
      | first of three |

  Scenario: A part stops crashing engines although its callers repeat each request
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When each request with the part is sent 3 times for 8 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: Two parts that crash engines at the same time are told apart from sound ones
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with one of two such parts are sent for 8 s, beside sound ones
    Then at most 5 engines have crashed on each part
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: A part stops crashing engines on all routes
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with the part are sent on two routes for 8 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: A part that two tenants send stops crashing engines for both
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When two tenants send requests with the part for 8 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: A part is recognized although other engines crash for other reasons
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with the part are sent for 10 s, beside sound ones, while another engine crashes every second
    Then at most 6 engines have crashed on each part
    And none was sent later than 1 s after the decision

  Scenario Outline: A part stops crashing engines while <trouble>
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with the part are sent for 12 s, beside sound ones, while <trouble>
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision

    Examples:
      | trouble                         |
      | the nodes restart one by one    |
      | all nodes restart after 6 s     |
      | the store is silent for 4 s     |
      | two nodes are suspended for 4 s |

  Scenario: A part that comes rarely is recognized as well
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When a request with the part is sent every 3 s for 12 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: A part that crashes engines later is recognized as well
    Given 6 nodes and 10 model engines that crash on a part of prompts
    And engines that crash 0.4 s after the request began
    When requests with the part third of four are sent for 8 s, beside sound ones
    Then at most 5 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: A part that crashes engines just after their first event is recognized as well
    Given 6 nodes and 10 model engines that crash on a part of prompts
    And engines that crash just after their first event
    When requests with the part third of four are sent for 8 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: A part that comes often crashes few engines after the first second
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When 30 requests with the part a second are sent for 8 s, beside sound ones
    Then at most 5 engines have crashed on it after the first second
    And none was sent later than 1 s after the decision

  Scenario: A part stops crashing engines in a larger fleet of nodes
    Given 24 nodes and 10 model engines that crash on a part of prompts
    When requests with the part third of four are sent for 8 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

  Scenario: No part is refused when engines crash for other reasons
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When a third of the engines crashes every 1 to 4 s for 12 s, beside popular, rare and new parts
    Then no request was refused for its parts

  Scenario: An operator lists a part in quarantine and releases it
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with the part third of four are sent for 4 s, beside sound ones
    Then the command lists the part with its id, its tenant and the engines that it crashed
    When the command releases the part
    Then the next request with it reaches an engine

  Scenario: Nodes of an earlier build do not keep the others from recognizing a part
    Given 4 nodes and 10 model engines that crash on a part of prompts
    And 2 more nodes of build d0f21f3
    When requests with the part third of four are sent for 8 s, beside sound ones
    Then the nodes of this build sent none later than 1 s after the decision
    And no sound request was refused for its parts, and the earlier nodes run

  Scenario Outline: A part stops crashing engines although nodes repeat runs: <how>
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When requests with the part are sent <how> for 8 s, beside sound ones
    Then at most 3 engines have crashed on each part
    And none was sent later than 1 s after the decision
    And no sound request was refused for its parts, and 0.99 of them began as before

    Examples:
      | how                            |
      | as resumable streams           |
      | while engines hold copies      |

  Scenario: A part that engines served until it began to crash them is recognized
    Given 6 nodes and 10 model engines that crash on a part of prompts
    When a part of sound prompts begins to crash engines, and its callers go on for 8 s
    Then at most 10 engines have crashed on each part
    And none was sent later than 1 s after the decision
