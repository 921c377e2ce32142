Feature: Membership, configuration, leases and dispatch in virtual time

  Scenario: Members discover each other through one seed, and all detect a dead member
    Given 12 members with the same seed
    When 10 seconds pass
    Then every member knows 12 members
    When member 3 crashes and 20 seconds pass
    Then every running member considers member 3 dead

  Scenario: 80 members that start together discover each other within 4 seconds
    Given 80 members with the same seed
    When 4 seconds pass
    Then every member knows 80 members

  Scenario: 80 members discover each other within 7 seconds when 10 % of the datagrams are lost
    Given 80 members with the same seed
    And 10 percent of the datagrams are lost
    When 7 seconds pass
    Then every member knows 80 members

  Scenario: Loss of 20 % of the datagrams causes no false death
    Given 12 members with the same seed
    And 20 percent of the datagrams are lost
    When 60 seconds pass
    Then no member was considered dead

  Scenario: A paused member refutes its death after it resumes
    Given 12 members with the same seed
    When 10 seconds pass
    And member 3 is paused for 20 seconds
    And 20 seconds pass
    Then every member knows 12 members

  Scenario: Two partitioned regions merge again without a restart
    Given 12 members with the same seed
    When 10 seconds pass
    And region 1 is partitioned from region 0 for 60 seconds
    Then region 0 considers all members of region 1 dead
    When 60 seconds pass
    Then every member knows 12 members

  Scenario: A restarted member replaces its previous incarnation
    Given 12 members with the same seed
    When 10 seconds pass
    And member 3 crashes and 20 seconds pass
    And member 3 restarts and 20 seconds pass
    Then every member knows 12 members

  Scenario: A configuration replica rejects older generations and sections with a wrong digest
    Given a configuration replica at generation 5
    When it is offered generation 4
    Then it stays at generation 5
    When it is offered generation 6 with a section that does not match its digest
    Then the section is refused and it stays at generation 5
    When it is offered generation 6 with the matching section
    Then it is at generation 6
    When it is offered different content for generation 6
    Then the content is refused and it stays at generation 6

  Scenario: A lease ends at its holder before it expires in the store
    Given a lease of 10 seconds that was acquired at 0 with token 7
    Then it is held at 7.9
    And it is not held at 8.1
    When it is renewed by a request sent at 6
    Then it is held at 13.9
    And it is not held at 14.1

  Scenario: Urgent requests are dispatched first, and tenants share capacity by weight
    Given a dispatch queue
    When tenant a queues 30 requests and tenant b with weight 2 queues 30 requests
    And tenant c queues 1 urgent request
    Then the first request dispatched is the urgent one of tenant c
    And of the next 15 dispatched, 5 belong to tenant a and 10 to tenant b

  Scenario: Retries are limited to a share of the successful requests
    Given a retry budget of share 0.1 and reserve 2
    Then 2 retries are allowed and the next is not
    When 10 requests succeed
    Then 1 retries are allowed and the next is not

  Scenario: A circuit breaker opens after failures, allows one probe and closes when the probe succeeds
    Given a circuit breaker that opens after 3 failures for 2 seconds
    When it fails 3 times at 0
    Then it does not allow a request at 1.9
    And it allows one probe at 2.1
    When the probe succeeds
    Then it allows requests at 2.2

  Scenario: The coordination library imports no I/O
    Then no module under coordination imports sockets, files, clocks or event loops

  Scenario: The examples in docs/EMBEDDING.md run
    Then the examples in docs/EMBEDDING.md run and print that member b is known
    And they print that a second node admits a tenant's request
