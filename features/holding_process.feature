Feature: A gateway's process whose callers read or send slowly

  Background:
    Given a stand-in platform with 1 desk engines and 2 model engines

  Scenario: Many large bodies under way stay within the memory limit, and others are served
    Given a node of 128 MB whose callers may read slowly
    When 100 callers send 3 MB of a body of 4 MB and no more
    Then the process has never taken more than 128 MB
    And some of them are refused as not run, with a time to come back
    And another caller is served within 1 s

  Scenario: Streams that nobody reads cost their engines no slot, and the node bounded memory
    Given engines that send 220 events of 32 KB
    And a node of 128 MB whose callers may read slowly
    When 10 callers ask for a stream and read nothing
    Then engines have finished 10 of the streams by themselves within 2 s
    And the process has never taken more than 128 MB
    And another caller is served within 1 s

  Scenario: Whoever closes while a buffer is full is let go at the engine
    Given engines that send 4000 events of 32 KB
    And a node of 128 MB whose callers may read slowly
    When 3 callers ask for a stream and read nothing
    And they close their connections
    Then engines work on none of them 0.5 s later

  Scenario: Whoever reads nothing of a long answer is let go before its deadline, and the engine told
    Given engines that send 4000 events of 32 KB
    And a node of 128 MB whose callers may read slowly
    When 10 callers ask for a stream and read nothing
    Then engines work on none of them 2.5 s later
    And the process has never taken more than 128 MB
    And the node has told of 10 answers ended as "unread"

  Scenario: Bodies at an engine that stops reading in the middle of them end with their callers' time
    Given an engine that stops reading in mid-body
    And a node of 128 MB whose callers may read slowly
    When 40 callers send it bodies of 4 MB, and wait 1.5 s
    Then each whose body was taken was told within 2.5 s that its outcome is not known
    And the node holds nothing for callers
    And the process has never taken more than 128 MB

  Scenario Outline: Requests that trickle in keep nobody out
    Given a node of 128 MB whose callers may read slowly
    When 60 callers begin a request each, in <what>, and send a byte of it each 0.1 s
    Then another caller's body of 512 KB is served within 1 s
    And another caller is served within 1 s
    And the process has never taken more than 128 MB

    Examples:
      | what        |
      | the headers |
      | the body    |
