Feature: Rules for the gateway's source code, its log and its imports

  Scenario: The product does not use the names of the platform's protocol
    Then no source file outside platform/ contains a name of the platform's protocol

  Scenario: The gateway's sans-IO modules do no I/O
    Then the sans-IO modules of the gateway import neither asyncio nor aiohttp nor sockets

  Scenario: The product does not import its platform adapter, nor the gateway the servers of liftrill.node
    Then no module of liftrill imports a module of platform/
    And the gateway imports nothing from liftrill.node but the membership codec

  Scenario: The platform adapter stays small
    Then platform/ has at most 1200 lines

  Scenario: The log explains how a request ended
    Given a log in which a request was refused by one engine and lost by another
    Then its explanation has both attempts, the known state of the engines, and the cause
    And a request without log lines is reported as unknown
    And the summary counts request outcomes and omitted lines

  Scenario: The log explains a refusal for a tenant's limit
    Given a log in which a tenant is limited at one node and refused there
    Then its explanation has the limit in force at that node, and the cause

  Scenario: The log explains why a stream was late
    Given a log in which a stream's events came at 0.4, 0.5, 1.3 and 1.4 s
    Then its explanation names the first event after 400 ms and a pause of 800 ms after event 2

  Scenario: The rate of log lines on requests is limited, and omitted lines are counted
    Given a log limited to 5 ordinary lines a second
    When 100 requests succeed within one second
    Then at most 11 lines were written
    And a later line counts the omitted ones

  Scenario: A log line is written whatever bytes a caller sends
    Given a log whose output is read
    When a request whose id is not valid UTF-8 is refused, and its line gets a number of 70 bits
    Then its line has eliot's fields, the id and the number

  Scenario: A stalled reader of the log costs lines, not time
    Given a log output whose reader has stalled
    When 100000 lines are written
    Then writing them took less than 3 s, and the dropped lines are counted

  Scenario: A node imports no modules that it does not use
    When the platform's serve module is imported in a separate process
    Then at most 427 modules of libraries and 175 of the project were imported
    And none of "aiohttp.web", "pydantic" and "liftrill.planning" was imported
