Feature: The coordination parts, in virtual time

  Scenario: Members find each other through a seed, and a dead one is found out by all
    Given 12 members that know one seed
    When 10 seconds pass
    Then every member knows 12 members
    When member 3 dies and 20 seconds pass
    Then every living member knows that member 3 is dead

  Scenario: A large fleet that starts at once knows itself within seconds
    Given 80 members that know one seed
    When 4 seconds pass
    Then every member knows 80 members

  Scenario: A large fleet that starts at once knows itself although datagrams are lost
    Given 80 members that know one seed
    And 10 percent of the datagrams are lost
    When 7 seconds pass
    Then every member knows 80 members

  Scenario: Loss of a fifth of the datagrams kills nobody
    Given 12 members that know one seed
    And 20 percent of the datagrams are lost
    When 60 seconds pass
    Then no member is believed dead

  Scenario: A member that was paused refutes its death when it goes on
    Given 12 members that know one seed
    When 10 seconds pass
    And member 3 is paused for 20 seconds
    And 20 seconds pass
    Then every member knows 12 members

  Scenario: A cut region heals without a restart
    Given 12 members that know one seed
    When 10 seconds pass
    And region 1 is cut off for 60 seconds
    Then members of region 0 believe those of region 1 dead
    When 60 seconds pass
    Then every member knows 12 members

  Scenario: A restarted member replaces its earlier life
    Given 12 members that know one seed
    When 10 seconds pass
    And member 3 dies and 20 seconds pass
    And member 3 starts again and 20 seconds pass
    Then every member knows 12 members

  Scenario: A replica never goes back and checks what it is given
    Given a configuration replica at generation 5
    When it is offered generation 4
    Then it stays at generation 5
    When it is offered generation 6 with a section that does not match
    Then the section is refused and it stays at generation 5
    When it is offered generation 6 with the right section
    Then it is at generation 6
    When it is offered another content for generation 6
    Then the content is refused and it stays at generation 6

  Scenario: A lease holder stops believing before the store lets the lease lapse
    Given a lease of 10 seconds that was acquired at 0 with token 7
    Then it is held at 7.9
    And it is not held at 8.1
    When it is renewed by a request sent at 6
    Then it is held at 13.9
    And it is not held at 14.1

  Scenario: Urgent requests go first, and tenants share by weight
    Given a dispatch queue
    When tenant a queues 30 requests and tenant b with weight 2 queues 30 requests
    And tenant c queues 1 urgent request
    Then the first taken is the urgent request of tenant c
    And of the next 15 taken, 5 are of tenant a and 10 of tenant b

  Scenario: Retries are a bounded share of successes
    Given a retry budget of share 0.1 and reserve 2
    Then 2 retries are allowed and the next is not
    When 10 requests succeed
    Then 1 retries are allowed and the next is not

  Scenario: A circuit opens after failures, lets one probe through, and closes on success
    Given a circuit that opens after 3 failures for 2 seconds
    When it fails 3 times at 0
    Then it does not allow a request at 1.9
    And it allows one probe at 2.1
    When the probe succeeds
    Then it allows requests at 2.2

  Scenario: The coordination library imports no I/O
    Then no module under coordination imports sockets, files, clocks or event loops

  Scenario: The documented examples of embedding run
    Then the examples in docs/EMBEDDING.md run and print that member b is known
    And they print that a second node lets a tenant's request through
