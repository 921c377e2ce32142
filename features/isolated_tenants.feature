Feature: Tenants that become isolated

  Guards against cached parts that a tenant made before it was isolated, and that other tenants go
  on using.

  Background:
    Given a stand-in platform with 1 desk engines and 1 model engines
    And a node, and the tenants "mill" and "port"

  Scenario: Other tenants use what a tenant left in caches before it was isolated
    When "mill" and "port" send prompts
    And "mill" becomes isolated
    And "mill" and "port" send prompts
    Then the prompts of "mill" and "port" had one cache salt before, and two others since

  Scenario Outline: Other tenants lose their cached parts though no further tenant is isolated: <change>
    When "mill" becomes isolated
    And "mill" and "port" send prompts
    And <change>
    And "mill" and "port" send prompts
    Then the prompts of "mill" and "port" had the same two cache salts twice

    Examples:
      | change                                  |
      | a configuration changes something else  |
      | "mill" loses its keys for a while       |

  Scenario: A tenant that is no longer isolated shares its cached parts again
    When "mill" becomes isolated
    And "mill" is no longer isolated
    And "mill" and "port" send prompts
    Then the prompts of "mill" and "port" had one cache salt
