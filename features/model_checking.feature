Feature: The models of the core protocols keep their invariants

  Scenario Outline: Every invariant of <model> holds in all reachable states
    When the model <model> is checked
    Then every invariant holds in all reachable states

    Examples:
      | model                |
      | claims               |
      | claims, group change |
      | commit               |
      | fenced order         |
      | order holder         |
      | restored store       |
      | configuration adoption |
      | stream origin        |
      | mirror relay         |
      | mirror relay, path told |

  Scenario Outline: <model> violates <invariant> without <rule>
    When the model <model> is checked without <rule>
    Then the checker finds a violation of <invariant>

    Examples:
      | model                | rule                      | invariant                      |
      | claims               | restarted_members_abstain | at_most_one_dispatch           |
      | claims               | withdrawal_is_final       | at_most_one_dispatch           |
      | claims, group change | joint_epoch               | at_most_one_dispatch           |
      | claims, group change | members_check_epochs      | at_most_one_dispatch           |
      | commit               | swap_checks_revision      | one_plan_per_generation        |
      | commit               | plan_is_looked_up         | told_conflict_is_not_confirmed |
      | commit               | replicas_only_go_forward  | replicas_never_go_back         |
      | fenced order         | engine_checks_token       | newer_orders_stay              |
      | order holder         | belief_ends_first         | turns_are_apart                |
      | order holder         | successor_waits           | turns_are_apart                |
      | order holder         | writes_before_orders      | turns_are_apart                |
      | order holder         | rests_only_when_quiet     | turns_are_apart                |
      | restored store       | fences_have_era           | newer_orders_stay              |
      | restored store       | fences_have_era           | leaders_are_heard              |
      | restored store       | leases_have_era           | leases_are_own                 |
      | configuration adoption | only_forward            | never_back                     |
      | configuration adoption | proof_from_question     | removed_key_refused            |
      | configuration adoption | proof_required          | removed_key_refused            |
      | stream origin        | bound_within_answer       | one_version                    |
      | stream origin        | others_asked              | one_version                    |
      | stream origin        | unknown_refused           | one_version                    |
      | stream origin        | versions_remembered       | one_version                    |
      | stream origin        | versions_recorded         | one_version                    |
      | stream origin        | recorded_first            | one_version                    |
      | stream origin        | mirror_confirmed          | one_version                    |
      | mirror relay         | read_before_following     | cuts_heal_soon                 |
      | mirror relay         | age_told                  | age_is_honest                  |
      | mirror relay         | age_bounded               | nothing_old_is_lacked          |
      | mirror relay         | watch_checked             | nothing_old_is_lacked          |
      | mirror relay, path told | origin_told            | refusals_heal_soon             |
      | mirror relay, path told | path_told              | refusals_heal_soon             |
