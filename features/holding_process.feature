Feature: Memory of a gateway process whose callers read or send slowly

  Background:
    Given a stand-in platform with 1 desk engines and 2 model engines

  Scenario: Many unfinished large bodies stay within the memory limit, and others are served
    Given a node with a memory limit of 128 MB
    When 100 callers send 3 MB of a body of 4 MB and no more
    Then the process has never used more than 128 MB
    And some of them are refused as not executed, with a time to retry
    And another caller is served within 1 s

  Scenario: Unread streams free their engine slots, and use bounded memory of the node
    Given engines that send 220 events of 32 KB
    And a node with a memory limit of 128 MB
    When 10 callers request a stream and read nothing
    Then engines have finished 10 of the streams within 2 s
    And the process has never used more than 128 MB
    And another caller is served within 1 s

  Scenario: A disconnect while a buffer is full ends the run at the engine
    Given engines that send 4000 events of 32 KB
    And a node with a memory limit of 128 MB
    When 3 callers request a stream and read nothing
    And they close their connections
    Then engines run none of them 0.5 s later

  Scenario: A caller that does not read a long answer is disconnected before its deadline, and the run ends
    Given engines that send 4000 events of 32 KB
    And a node with a memory limit of 128 MB
    When 10 callers request a stream and read nothing
    Then engines run none of them 2.5 s later
    And the process has never used more than 128 MB
    And the node has logged 10 answers ended as "unread"

  Scenario: Bodies at an engine that stops reading are released at their callers' deadlines
    Given an engine that stops reading in mid-body
    And a node with a memory limit of 128 MB
    When 40 callers send it bodies of 4 MB, and wait 1.5 s
    Then each whose body was accepted was told within 2.5 s that its outcome is unknown
    And the node holds nothing for callers
    And the process has never used more than 128 MB

  Scenario Outline: Requests that arrive byte by byte exclude no other caller
    Given a node with a memory limit of 128 MB
    When 60 callers each begin a request and send a byte of <what> each 0.1 s
    Then another caller's body of 512 KB is served within 1 s
    And another caller is served within 1 s
    And the process has never used more than 128 MB

    Examples:
      | what        |
      | the headers |
      | the body    |
