Feature: An answer that is cut on its way to its caller is not taken for complete

  Guards against answers that end early without a sign of it, which callers of HTTP/1.0 can tell
  only by a reset, and against pieces that come twice or out of order.

  Scenario: A node is killed in the middle of answers
    Given 2 nodes, and engines that send 20 events of 0 KB in 2 s
    When 50 callers of either HTTP version ask for each kind of answer
    And a node is killed
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And some streams were cut
    And some whole answers were cut

  Scenario: A node that is told to stop completes its answers
    Given 2 nodes, and engines that send 20 events of 0 KB in 2 s
    When 50 callers of either HTTP version ask for each kind of answer
    And a node is told to stop
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And all are whole

  Scenario: A node stops before its answers are complete
    Given 2 nodes, and engines that send 60 events of 0 KB in 12 s
    When 50 callers of either HTTP version ask for each kind of answer
    And a node is told to stop
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And some streams were cut

  Scenario: A node is suspended in the middle of answers
    Given 2 nodes, and engines that send 20 events of 0 KB in 2 s
    When 50 callers of either HTTP version ask for each kind of answer
    And a node is suspended and resumed
    Then no answer says that it is whole and is not, and no piece comes twice or out of order

  Scenario: A node ends answers for want of memory
    Given 2 nodes with a memory limit of 128 MB, and engines that send 40 events of 32 KB in 2 s
    When 50 slow callers of either HTTP version ask for each kind of answer
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And some were let go to free memory
    And some streams were cut
    And some whole answers were cut

  Scenario: Engines go on under callers of HTTP/1.0
    Given 2 nodes, and engines that send 20 events of 0 KB in 2 s
    When 50 callers of HTTP/1.0 ask for each kind of answer
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And all are whole

  Scenario: A caller of HTTP/1.0 that keeps its connections learns of the end of a stream
    Given 2 nodes, and engines that send 20 events of 0 KB in 2 s
    When 50 callers of HTTP/1.0 that keep their connections ask for each kind of stream
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And all are whole

  Scenario: Engines are killed under callers of HTTP/1.0
    Given 2 nodes, and engines that send 20 events of 0 KB in 2 s
    When 50 callers of HTTP/1.0 ask for each kind of answer
    And an engine of each service is killed
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And some streams were cut

  Scenario: Engines are killed under slow callers
    Given 2 nodes with a memory limit of 512 MB, and engines that send 40 events of 16 KB in 2 s
    When 50 slow callers of either HTTP version ask for each kind of answer
    And an engine of each service is killed
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And some streams were cut

  Scenario: A stream is taken up at another node while its first node sends
    Given 2 nodes, and engines that send 20 events of 0 KB in 2 s
    When 50 callers of either HTTP version take up a stream at the other node
    Then no answer says that it is whole and is not, and no piece comes twice or out of order
    And all that were taken up are whole
