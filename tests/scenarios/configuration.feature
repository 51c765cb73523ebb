Feature: G2 and G8, an accepted configuration survives losses, is in force everywhere and never reverts

  Background:
    Given 3 domains with 2 entries each and 5 control replicas

  Scenario: Operators racing with equal versions
    When 8 operators change the same pool with the same expected version at once
    Then exactly one change is accepted and the others get a version conflict
    And the accepted change is in force at all entries

  Scenario: A change resent after its answer was lost
    When a change is sent, its response is lost and it is resent through each replica
    Then each replica returns the first outcome

  Scenario: The leader killed right after it accepted a change
    When a change is accepted and the leader is killed at once
    Then the change resent through another replica has the first outcome
    And the accepted change is in force at all entries
    When the killed replica is started again
    Then all replicas show the accepted change

  Scenario: A cut-off domain never goes back and catches up
    When domain "c" is cut off
    And 5 changes are accepted
    Then the entries of domain "c" keep their previous revision
    When an entry of domain "c" is restarted
    Then it gets the configuration from its peer
    When the partition is healed
    Then the accepted change is in force at all entries
    And no entry went back to an older revision

  Scenario: A replica restarted after hundreds of changes
    When 500 changes are accepted
    And a follower is killed and started again
    Then all replicas show the accepted change
    And the first of these changes resent through it has the first outcome

  Scenario: Two replicas lose their disks
    When two replicas are killed and their data folders are emptied
    Then a change is accepted
    When both are started empty and replaced by the operator
    Then five voters respond
    And all replicas show the accepted change
    And a change is accepted after the loss of two other replicas
