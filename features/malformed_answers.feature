Feature: An answer that does not follow HTTP/1.1 is not passed on as an engine's

  Guards against streams and bodies that end as complete before their last piece, and against heads
  that callers get though they are none.

  Background:
    Given a stand-in platform with 2 desk engines and 2 model engines
    And a node

  Scenario: Nothing tells which answers were malformed
    When answers on "stream" have each fault in their chunks
    Then each of them is logged with its engine, and counted

  Scenario: A stream ends as complete before its last piece, in chunks
    When answers on "stream" have the fault "a chunk size of zeros"
    Then no caller got a success that looks whole and is not, or other bytes
