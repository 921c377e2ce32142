Feature: A test run ends, and shows what did not end by itself

  Guards against a run of the tests that never ends, and does not tell which file it waits for.

  Scenario: A process that is left running keeps the run waiting
    Given a worker that exits and leaves a process that would run for 60 s
    When it is run
    Then the run has ended within 20 s
    And its output names the process, which has ended

  Scenario: A worker that waits for ever keeps the run waiting
    Given a worker that waits for ever in a task, and may run for 1 s
    When it is run
    Then the run has ended within 20 s
    And its output shows where the task waits

  Scenario: A worker that cannot end itself keeps the run waiting
    Given a worker that is stopped, and may run for 1 s
    When it is run
    Then the run has ended within 20 s
    And its output shows "it has not ended within 3.0 s"

  Scenario: A run does not tell that a worker was killed
    Given a worker that is killed
    When it is run
    Then its output shows "it ended with -9"

  Scenario: A step that waits for ever keeps its file waiting
    Given a scenario whose steps may take 1 s
    When a step of it waits for ever
    Then the step has failed within 20 s, and shows where it waits

  Scenario: A scenario whose end fails leaves its tasks and its folder
    Given a scenario whose steps may take 1 s
    When it leaves a task, and ending one of its processes fails
    Then the failure is raised, and its task, its loop and its folder have ended

  Scenario: A node of a deployment runs on after another one could not be ended
    Given a deployment of 3 nodes, of which the second raises an error as it is ended
    When the deployment ends
    Then the error is raised, and the other nodes have ended

  Scenario: A run does not tell why a worker ended without results
    Given a feature file that no worker can read
    When the run ends
    Then it has failed, and its last lines show why

  Scenario Outline: A run that gets <signal> leaves processes running
    Given a feature file with a step that starts a process and takes 100 s
    When its run gets <signal> during that step
    Then the run, its worker and that process have ended within 10 s

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |
      | SIGKILL |
