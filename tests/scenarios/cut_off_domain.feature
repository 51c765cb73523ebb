Feature: A cut-off domain keeps serving the requests that need no other domain

  Scenario: A domain is cut off, loses its shards after the term and returns
    Given 3 domains with 3 entries each, 5 control replicas and a delegation term of 4 s
    When domain "c" is cut off
    Then it keeps serving keys, orders without a key and downloads of its own servers
    And it refuses orders with a key with an unknown outcome
    And all keys are served by the other domains after the delegation term
    When the partition is healed
    Then all keys are served in all domains
    And orders that were refused in the cut-off domain did not run
    And no key had two owners
