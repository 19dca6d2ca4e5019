Feature: What samphirestack promises to its users
  Callers send work with the key of their team, operators publish and
  change the configuration, and VMs, zones and the store may fail meanwhile.

  Scenario: No worker is overcommitted
    Given the teams submit more tasks than the workers can hold
    When the load has run
    Then every promise was kept
    And tasks were running on every worker

  Scenario: No task runs in two places
    Given the teams submit batches
    And a zone leader is paused for longer than its leases
    When the load has run
    Then every promise was kept

  Scenario: A revoked key stops working although a zone is cut off
    Given a zone is cut off from the platform and the other zones
    When an operator revokes the key of "gritting" while load runs
    Then nothing "gritting" sent more than 4 seconds later was run
    And work for "public" went on

  Scenario: No team exceeds its limit over all zones
    Given "ferries" asks for more than its limit in every zone
    When the load has run
    Then every promise was kept
    And "ferries" was served

  Scenario: Every caller receives its own complete answer
    Given some upstreams are cut short in the middle of their answers
    When the load has run
    Then every promise was kept
    And every idempotent request was answered

  Scenario: A refusal that says not run is true
    Given the teams send more requests than the upstreams can take
    When the load has run
    Then every promise was kept
    And some requests were refused as not run

  Scenario: A request that is not idempotent runs at most once
    Given all upstreams of a zone break off during their work
    When the load has run
    Then every promise was kept
    And some requests are reported as possibly run

  Scenario: A leaving upstream receives no new work
    Given an upstream leaves
    When the load has run
    Then every promise was kept
    And the other upstreams went on working

  Scenario: A graceful shutdown cuts nothing off
    When an entry is asked to stop while load runs
    Then every promise was kept
    And the entry ended by itself
    And every request was answered

  Scenario: An accepted configuration is in force everywhere
    When an operator retires a queue while load runs
    Then no request on the retired queue started more than 4 seconds later
