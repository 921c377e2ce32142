Feature: The delivery of one opaque request: attempts, retries and outcomes

  Scenario: A request that one engine refuses goes to another, and is then refused with a retry time
    Given an at-most-once request, with 2 attempts
    When it starts
    And the engine refuses the request as overloaded
    Then it is sent to another engine
    When the engine refuses the request as overloaded
    Then it is refused with a retry time

  Scenario: An at-most-once request is not retried after a broken connection, and its outcome is unknown
    Given an at-most-once request, with 2 attempts
    When it starts
    And the connection to the engine breaks
    Then its outcome is unknown
    And it was sent 1 time

  Scenario: An idempotent request is retried at another engine after a broken connection
    Given an idempotent request, with 2 attempts
    When it starts
    And the connection to the engine breaks
    Then it is sent to another engine
    When the connection to the engine breaks
    Then its outcome is unknown
    And it was sent 2 times

  Scenario: Status 500 for an idempotent request is retried at another engine, and then passed on
    Given an idempotent request, with 2 attempts
    When it starts
    And the engine answers with status 500
    Then it is sent to another engine
    When the engine answers with status 500
    Then the caller gets the engine's response with status 500

  Scenario: Status 500 for an at-most-once request is passed on
    Given an at-most-once request, with 2 attempts
    When it starts
    And the engine answers with status 500
    Then the caller gets the engine's response with status 500

  Scenario: The route limits the number of attempts
    Given an at-most-once request, with 1 attempt
    When it starts
    And the engine refuses the request as overloaded
    Then it is refused with a retry time
    And it was sent 1 time

  Scenario: An engine that was never reached uses up neither an attempt nor the retry allowance
    Given an at-most-once request, with 1 attempt
    And the retry allowance is used up
    When it starts
    And the engine cannot be reached
    Then it is sent to another engine

  Scenario: Without a retry allowance nothing is sent again
    Given an idempotent request, with 2 attempts
    And the retry allowance is used up
    When it starts
    And the engine refuses the request as overloaded
    Then it is refused with a retry time
    And it was sent 1 time

  Scenario: A resumable stream continues after its last event, without repeated events or a second head
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then it is sent to another engine to resume after event 3
    When a stream opens
    And events 3 to 5 arrive
    And the stream completes
    Then the caller got events 1 to 5 and one response head
    And the stream ended complete

  Scenario: A stream that may not be resumed is aborted, never joined from two runs
    Given a stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then the stream was aborted
    And it was sent 1 time

  Scenario: A stream that may not be restarted continues with the backup of its run
    Given a stream request, with 1 attempt
    And its engine sends a backup of the run to "engine-4"
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then it continues at "engine-4" with the backup, after event 3
    When a stream opens
    And events 4 to 5 arrive
    And the stream completes
    Then the caller got events 1 to 5 and one response head
    And the stream ended complete

  Scenario: A run is sent four times at most, with its continuations at backups
    Given a stream request, with 1 attempt
    And its engine sends a backup of the run to "engine-4"
    And the backup's engine sends a backup to "engine-3" in turn
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then it continues at "engine-4" with the backup, after event 3
    When the connection to the engine breaks
    Then it continues at "engine-3" with the backup, after event 3
    When the connection to the engine breaks
    And the connection to the engine breaks
    Then the stream was aborted
    And it was sent 4 times

  Scenario Outline: A stream that fails at its backup too is aborted, and restarted nowhere
    Given a stream request, with 2 attempts
    And its engine sends a backup of the run to "engine-4"
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    And <what>
    Then the stream was aborted
    And it was sent 2 times

    Examples:
      | what                                         |
      | the engine refuses the request as overloaded |
      | the connection to the engine breaks          |
      | the engine cannot be reached                 |

  Scenario Outline: A run is not continued at its backup while its engine may work on it
    Given a stream request, with 2 attempts
    And its engine sends a backup of the run to "engine-4"
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks, whose state is "<state>"
    Then the stream was aborted
    And it was sent 1 time

    Examples:
      | state   |
      | running |
      | unknown |

  Scenario: A run whose weights changed is not continued at its backup
    Given a stream request, with 2 attempts
    And its engine sends a backup of the run to "engine-4"
    When it starts
    And a stream opens
    And events 1 to 2 arrive
    And event 3 arrives, the first one made under weights 2
    And events 4 to 5 arrive
    And the connection to the engine breaks
    Then the stream was aborted
    And it was sent 1 time

  Scenario: A run continues at its backup when its engine is out of reach
    Given a stream request, with 1 attempt
    And its engine sends a backup of the run to "engine-4"
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks, whose state is "unreached"
    Then it continues at "engine-4" with the backup, after event 3

  Scenario Outline: A stream that may be resumed is resumed where its run may still be going on
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks, whose state is "<state>"
    Then it is sent to the same engine to resume after event 3
    When the engine refuses the request as overloaded
    Then the stream was aborted
    And it was sent 2 times

    Examples:
      | state   |
      | running |
      | unknown |

  Scenario: A stream goes on at the incarnation that replaced its engine
    Given a resumable stream request, with 3 attempts
    When it starts
    And a stream opens
    And events 1 to 2 arrive
    And the connection to the engine breaks, whose state is "running"
    Then it is sent to the same engine to resume after event 2
    When a stream opens
    And another incarnation proves to have answered
    Then it is sent to another engine to resume after event 2

  Scenario Outline: A stream goes on elsewhere though its engine may work on it under another incarnation
    Given a <kind>, with 3 attempts
    When it starts
    And a stream opens
    And events 1 to 2 arrive
    And the connection to the engine breaks, whose state is "<state>"
    And a stream opens
    And it is not known which incarnation answered
    Then <outcome>

    Examples:
      | kind                     | state   | outcome                                              |
      | resumable stream request | ended   | it is sent to another engine to resume after event 2 |
      | resumable stream request | running | the stream was aborted                               |

  Scenario: A resumption that another incarnation answered is refused as not run
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And another incarnation proves to have answered
    Then it is sent to another engine
    When a stream opens
    And another incarnation proves to have answered
    Then its outcome is unknown
    And it was sent 2 times

  Scenario: A copy of a run goes on at the incarnation that replaced its holder
    Given a stream request, with 2 attempts
    And its engine sends a backup of the run to "engine-3"
    When it starts
    And a stream opens
    And events 1 to 2 arrive
    And the connection to the engine breaks
    Then it continues at "engine-3" with the backup, after event 2
    When a stream opens
    And another incarnation proves to have answered
    Then the stream was aborted

  Scenario: A stream is resumed elsewhere once its engine proves to be out of reach
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks, whose state is "unknown"
    And the engine cannot be reached
    Then it is sent to another engine to resume after event 3

  Scenario: A run without an event is not continued at its backup
    Given a stream request, with 2 attempts
    And its engine sends a backup of the run to "engine-4"
    When it starts
    And the connection to the engine breaks
    Then its outcome is unknown
    And it was sent 1 time

  Scenario: A passed deadline refuses a request that was not sent, and leaves the outcome of others unknown
    Given an at-most-once request, with 2 attempts
    And no engine is ready
    When it starts
    Then it is queued for an engine
    When its deadline passes
    Then it is refused with a retry time
    Given an at-most-once request, with 2 attempts
    When it starts
    And its deadline passes
    Then its outcome is unknown

  Scenario: No order of events breaks a guarantee to the caller
    Given random histories of requests of each kind
    Then none is retried after it may have run, unless that is allowed
    And each continues at a backup three times at most, and only as a stream that has begun
    And none goes on at another engine while the engine before may work on it
    And none is refused while an attempt may have run
    And none is sent to more engines than its route allows
    And each caller gets the pieces of one run in order, as far as bytes tell

  Scenario: The check of these histories finds a run at two engines
    Given random histories of requests whose delivery takes each engine for ended
    Then some go on at another engine while the engine before may work on it

  Scenario Outline: The check of these histories finds pieces out of order or of two runs
    Given random histories of requests whose delivery passes on <what>
    Then some callers get pieces out of order or of two runs

    Examples:
      | what                                      |
      | events whose id went back                 |
      | repeated pieces without an id             |
      | what follows repeated ids of another text |

  Scenario: A resumable stream whose ids go back goes on after the last id, not with another text
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And the pieces "A1 A2 A3 B1 B2 B3 B4 B5 end" arrive
    Then it is sent to the same engine once more, to resume after event 3
    When a stream opens
    And the pieces "A4 A5 end" arrive
    Then the caller got "A1 A2 A3 A4 A5"
    And the stream ended complete

  Scenario Outline: A stream whose ids go back at its last attempt does not end as complete
    Given a <kind>, with <attempts> attempts
    When it starts
    And a stream opens
    And the pieces "<pieces>" arrive
    Then the caller got "<got>"
    And the stream was aborted

    Examples:
      | kind                     | attempts | pieces                   | got      |
      | stream request           | 2        | A1 A2 A3 B1 B2 B3 B4 end | A1 A2 A3 |
      | stream request           | 2        | A1 A2 A2 A3 end          | A1 A2    |
      | resumable stream request | 1        | A1 A2 A3 B1 B2 B3 B4 end | A1 A2 A3 |
      | stream request           | 2        | A1 Ax A1 Ax A2 end       | A1 Ax    |

  Scenario Outline: A later attempt passes on neither repeated pieces nor those of another text
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And the pieces "<first>" arrive
    And the connection to the engine breaks
    And a stream opens
    And the pieces "<later>" arrive
    Then the caller got "<got>"
    And the stream <end>

    Examples: ids
      | first    | later                | got               | end            |
      | A1 A2 A3 | A4 A5 end            | A1 A2 A3 A4 A5    | ended complete |
      | A1 A2 A3 | A1 A2 A3 A4 A5 end   | A1 A2 A3 A4 A5    | ended complete |
      | A1 A2 A3 | A3 A4 A5 end         | A1 A2 A3 A4 A5    | ended complete |
      | A1 A2 A3 | end                  | A1 A2 A3          | ended complete |
      | A1 A2 A3 | B1 B2 B3 B4 B5 end   | A1 A2 A3          | was aborted    |
      | A1 A2 A3 | A2 B3 B4 B5 end      | A1 A2 A3          | was aborted    |
      | A1 A2 A3 | A4 A5 B3 B4 B5 end   | A1 A2 A3 A4 A5    | was aborted    |
      | A1 A2 A3 | A1 A2 end            | A1 A2 A3          | was aborted    |
      | A2 A4 A6 | A3 A5 A8 end         | A2 A4 A6 A8       | ended complete |

    Examples: pieces without an id
      | first    | later                | got               | end            |
      | A1 Ax Ax | Ax Ax Ax A2 end      | A1 Ax Ax Ax A2    | ended complete |
      | A1 Ax Ay | A1 Ax Ay Az end      | A1 Ax Ay Az       | ended complete |
      | Ax Ay    | Ax Ay Az end         | Ax Ay Az          | ended complete |
      | A1 Ax A2 | A1 Ax A2 Ay A3 end   | A1 Ax A2 Ay A3    | ended complete |
      | A1 Ax Ay | A2 end               | A1 Ax Ay A2       | ended complete |
      | A1 Ax Ay | Bx By A2 end         | A1 Ax Ay          | was aborted    |
      | A1 Ax Ay | Ax By A2 end         | A1 Ax Ay          | was aborted    |
      | A1 Ax Ay | Ax A2 end            | A1 Ax Ay          | was aborted    |
      | A1 Ax Ay | Ax end               | A1 Ax Ay          | was aborted    |
      | A1 Ax A2 | A1 Bx A2 A3 end      | A1 Ax A2          | was aborted    |
      | A1 A2    | Ax A1 A2 A3 end      | A1 A2 Ax          | was aborted    |

  Scenario: A repeated piece is recognized though its attempt has other weights
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And the pieces "A1 A2" arrive
    And the connection to the engine breaks
    And a stream opens
    And a piece that the caller has arrives as the first one made under other weights
    And the pieces "A3 end" arrive
    Then the caller got "A1 A2 A3"
    And the stream ended complete

  Scenario Outline: A long stream is not joined from two texts
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And 1000 pieces of text A arrive, <ids> with ids
    And the connection to the engine breaks
    And a stream opens
    And 1001 pieces of text <text> arrive, <ids> with ids
    Then the caller got <got> pieces, all of text A

    Examples:
      | ids  | text | got  |
      | all  | A    | 1001 |
      | all  | B    | 1000 |
      | some | A    | 1001 |
      | some | B    | 1000 |
      | none | A    | 1001 |
      | none | B    | 1000 |

  Scenario: The order of a long stream takes little memory
    Then the order of a stream of 20000 events is kept in at most 8 KB

  Scenario Outline: A node that stops begins a request that waited until it was too late: <wait>
    Given an idempotent request, with 3 attempts
    And no engine is ready
    When it starts
    Then it is queued for an engine
    When the node begins no more requests
    And an engine becomes ready unnoticed
    And <wait>
    Then it is refused with a retry time
    And it was sent 0 times

    Examples:
      | wait           |
      | its wait ends  |
      | it starts      |

  Scenario: A node that stops begins a request anew that was refused
    Given an idempotent request, with 3 attempts
    When it starts
    And the node begins no more requests
    And the engine refuses the request as overloaded
    Then it is refused with a retry time
    And it was sent 1 time

  Scenario: A node that stops gives up a request that may have run, which it could repeat
    Given an idempotent request, with 3 attempts
    When it starts
    And the node begins no more requests
    And the connection to the engine breaks
    Then it is sent to another engine

  Scenario Outline: After its wait a request is tried once more, then refused
    Given an at-most-once request, with 1 attempts
    And no engine is ready
    When it starts
    Then it is queued for an engine
    When an engine becomes ready <whether>
    And its wait ends
    Then it is <end>

    Examples:
      | whether     | end                 |
      | unnoticed   | sent to an engine   |
      | not         | refused as not run  |

  Scenario Outline: A resumable stream that its engine closes early, and runs on, ends as complete: <how>
    Given a resumable stream request, with 3 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the engine, which runs, closes the connection <delay> ms after its last bytes, and <others>
    Then it is sent to the same engine once more, to resume after event 3
    When a stream opens
    And events 4 to <last> arrive
    And the engine, which runs, closes the connection 1 ms after its last bytes, and no other
    Then the caller got events 1 to <last> and one response head
    And the stream ended complete

    Examples:
      | delay | others              | last |
      | 30    | no other            | 6    |
      | 1     | others abruptly     | 6    |
      | 30    | no other            | 3    |

  Scenario Outline: A sound stream whose end was doubted is broken off as no new run can be had: <then>
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the engine, which runs, closes the connection 30 ms after its last bytes, and no other
    Then it is sent to the same engine once more, to resume after event 3
    When <then>
    Then the stream ended complete

    Examples:
      | then                                        |
      | the engine refuses the request as overloaded |
      | the connection to the engine breaks         |
      | the engine answers with status 500          |
      | its deadline passes                         |
      | the engine, which runs, closes the connection 30 ms after its last bytes, and no other |

  Scenario Outline: A resumable stream of an engine that does not reply in time is broken off at its sound end: <then>
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the engine closes the connection in order, and its state is "unknown"
    Then it is sent to the same engine once more, to resume after event 3
    When a stream opens
    And <then>
    Then the stream <end>

    Examples:
      | then                                                                       | end            |
      | event 3 arrives again, and the engine closes the connection, and its state is "unknown" | ended complete |
      | event 2 arrives again, and the engine closes the connection, and its state is "unknown" | was aborted |
      | the engine closes the connection in order, and its state is "unknown"      | ended complete |
      | the engine closes the connection in order, and its state is "running"      | ended complete |
      | the connection to the engine breaks                                        | was aborted    |
      | its deadline passes                                                        | was aborted    |

  Scenario Outline: Two engines that end under a stream, one after the other, are taken for its end: <first>
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the engine closes the connection in order, and its state is "<first>"
    Then it is sent to another engine to resume after event 3
    When a stream opens
    And the engine closes the connection in order, and its state is "unknown"
    Then the stream was aborted

    Examples:
      | first     |
      | ended     |
      | unreached |

  Scenario Outline: A sound end of a stream costs another run: <kind>, <delay> ms, <others>, <retries>
    Given a <kind>, with 3 attempts
    And the retry allowance is <retries>
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the engine, which runs, closes the connection <delay> ms after its last bytes, and <others>
    Then the stream ended complete
    And it was sent 1 time

    Examples:
      | kind                     | delay | others              | retries |
      | resumable stream request | 1     | no other            | full    |
      | resumable stream request | 30    | no other            | used up |
      | stream request           | 30    | no other            | full    |
      | stream request           | 1     | others abruptly     | full    |
      | resumable stream request | 1     | others in step      | full    |
      | resumable stream request | 14    | no other            | full    |

  Scenario Outline: The last chunk of a stream is believed though its engine closed instead of a reply: <kind>, <evidence>
    Given a <kind>, with 3 attempts
    When it starts
    And a stream opens
    And events 1 to 2 arrive
    And the engine, which is "<evidence>", closes the connection after the last chunk
    Then <what>

    Examples:
      | kind                     | evidence           | what                                                  |
      | resumable stream request | running            | it is sent to the same engine to resume after event 2 |
      | resumable stream request | unknown            | it is sent to the same engine to resume after event 2 |
      | resumable stream request | ended              | it is sent to another engine to resume after event 2  |
      | resumable stream request | ended as it leaves | it is sent to the same engine to resume after event 2 |
      | stream request           | running            | the stream ended complete                             |
      | stream request           | unknown            | the stream was aborted                                |
      | stream request           | ended              | the stream was aborted                                |
      | stream request           | ended as it leaves | the stream ended complete                             |

  Scenario Outline: A closed connection ends a stream without other marks only at an engine that runs on
    Given a stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 1 arrive
    And the engine closes the connection in order, and its state is "<evidence>"
    Then the stream <end>

    Examples:
      | evidence  | end            |
      | running   | ended complete |
      | ended     | was aborted    |
      | unreached | was aborted    |
      | unknown   | was aborted    |
