Feature: What a gateway may say and do about one opaque request

  Scenario: A refusal by the engine leads to another engine and then to a promise
    Given an opaque request that may run at most once, with 2 attempts
    When it starts
    And the engine turns it away as overloaded
    Then it is sent to another engine
    When the engine turns it away as overloaded
    Then it is refused with a time to come back

  Scenario: A request that may not run again is never sent after a loss, nor called not run
    Given an opaque request that may run at most once, with 2 attempts
    When it starts
    And the connection to the engine breaks
    Then its outcome is unknown
    And it was sent 1 time

  Scenario: A repeatable request goes on to another engine after a loss
    Given an opaque request that may be repeated, with 2 attempts
    When it starts
    And the connection to the engine breaks
    Then it is sent to another engine
    When the connection to the engine breaks
    Then its outcome is unknown
    And it was sent 2 times

  Scenario: An engine's own failure is tried once more elsewhere, and otherwise passed on
    Given an opaque request that may be repeated, with 2 attempts
    When it starts
    And the engine answers with status 500
    Then it is sent to another engine
    When the engine answers with status 500
    Then the caller gets the engine's answer with status 500

  Scenario: An engine's own failure of a request that may not be repeated is passed on
    Given an opaque request that may run at most once, with 2 attempts
    When it starts
    And the engine answers with status 500
    Then the caller gets the engine's answer with status 500

  Scenario: Attempts are bounded by the route
    Given an opaque request that may run at most once, with 1 attempt
    When it starts
    And the engine turns it away as overloaded
    Then it is refused with a time to come back
    And it was sent 1 time

  Scenario: An engine that was never reached does not use up an attempt or the budget
    Given an opaque request that may run at most once, with 1 attempt
    And no repeats are left
    When it starts
    And the engine cannot be reached
    Then it is sent to another engine

  Scenario: Without a repeat in the budget nothing is sent again
    Given an opaque request that may be repeated, with 2 attempts
    And no repeats are left
    When it starts
    And the engine turns it away as overloaded
    Then it is refused with a time to come back
    And it was sent 1 time

  Scenario: A resumable stream goes on after its last event, without repeat, under its first head
    Given a resumable stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then it is sent to another engine to go on after event 3
    When a stream opens
    And events 3 to 5 arrive
    And the stream completes
    Then the caller has events 1 to 5 and one head
    And the answer ended complete

  Scenario: A stream that may not be resumed is broken off, never joined from two runs
    Given a stream request, with 2 attempts
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then the answer ended broken off
    And it was sent 1 time

  Scenario: A stream that may not be begun anew goes on with the copy of its run
    Given a stream request, with 1 attempt
    And its engine sends a copy of the run to "engine-4"
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then it goes on at "engine-4" with the copy, after event 3
    When a stream opens
    And events 4 to 5 arrive
    And the stream completes
    Then the caller has events 1 to 5 and one head
    And the answer ended complete

  Scenario: A run goes on three times, and no more
    Given a stream request, with 1 attempt
    And its engine sends a copy of the run to "engine-4"
    And the copy's engine sends one to "engine-3" in turn
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    Then it goes on at "engine-4" with the copy, after event 3
    When the connection to the engine breaks
    Then it goes on at "engine-3" with the copy, after event 3
    When the connection to the engine breaks
    And the connection to the engine breaks
    Then the answer ended broken off
    And it was sent 4 times

  Scenario Outline: Without the copy the stream is broken off, and begun nowhere
    Given a stream request, with 2 attempts
    And its engine sends a copy of the run to "engine-4"
    When it starts
    And a stream opens
    And events 1 to 3 arrive
    And the connection to the engine breaks
    And <what>
    Then the answer ended broken off
    And it was sent 2 times

    Examples:
      | what                                   |
      | the engine turns it away as overloaded |
      | the connection to the engine breaks    |
      | the engine cannot be reached           |

  Scenario: Before its first event a run is not gone on with
    Given a stream request, with 2 attempts
    And its engine sends a copy of the run to "engine-4"
    When it starts
    And the connection to the engine breaks
    Then its outcome is unknown
    And it was sent 1 time

  Scenario: A deadline before anything was sent is a promise, and after it is none
    Given an opaque request that may run at most once, with 2 attempts
    And no engine is ready
    When it starts
    Then it is held for an engine
    When its deadline passes
    Then it is refused with a time to come back
    Given an opaque request that may run at most once, with 2 attempts
    When it starts
    And its deadline passes
    Then its outcome is unknown

  Scenario: Whatever happens in whatever order, a promise is never broken
    Given random histories of requests of each kind
    Then none is sent again after it may have run unless that is allowed
    And copies are gone on with three times at most, and only by a stream that has begun
    And none is called not run while an attempt may have run
    And none is sent to more engines than its route allows

  Scenario Outline: When its wait is over a held request is tried once more, then refused
    Given an opaque request that may run at most once, with 1 attempts
    And no engine is ready
    When it starts
    Then it is held for an engine
    When an engine becomes ready <whether>
    And its wait ends
    Then it is <end>

    Examples:
      | whether     | end                 |
      | unnoticed   | sent to an engine   |
      | not         | refused as not run  |
