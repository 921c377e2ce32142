Feature: What engines say of themselves in their answers

  Background:
    Given a stand-in platform with 4 desk engines and 4 model engines
    And 3 nodes

  Scenario: An engine that says in its answers that it leaves gets nothing more, whatever its record says
    Given callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind says in all its answers that it leaves, its record stays ready, goes for 1 s and is back
    And these callers go on for 4 s
    Then no request reached such an engine later than 0.3 s after its first such answer
    And all of these callers were served

  Scenario: An engine that asks for rest gets nothing from that node until its end
    Given callers that call all nodes on "whole" and "stream" and know where they called
    When an engine of each kind turns all away and asks for 2 s of rest
    And these callers go on for 5 s
    Then no node sent such an engine anything from 0.3 s after such an answer until its rest was over
    And at most 0.02 of these callers were refused

  Scenario: Callers are refused at once, and told when, while all engines rest
    Given callers that call all nodes on "whole" and "stream" and know where they called
    When all engines turn all away and ask for 3 s of rest
    And these callers go on for 2.5 s
    Then those who called after the first 0.5 s were refused within 0.1 s, and told to come back after the rest
