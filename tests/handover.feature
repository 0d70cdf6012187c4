Feature: The morning sheet after a shift that changed things by hand

  Background:
    Given a sheet with the services lookups and exports is in force

  Scenario: A change by hand survives the next sheet
    Given the night shift sets lookups max_wait_s to 9
    When the morning shift applies the same sheet
    Then lookups has max_wait_s 9
    And the handover names the night shift for lookups max_wait_s

  Scenario: The sheet and a shift change the same field
    Given the night shift sets lookups max_wait_s to 9
    When the morning shift applies a sheet with lookups max_wait_s 4
    Then the sheet is rejected and names both values and the night shift
    And lookups has max_wait_s 9

  Scenario: A conflict is resolved for the sheet
    Given the night shift sets lookups max_wait_s to 9
    When the morning shift applies a sheet with lookups max_wait_s 4, taking the sheet
    Then lookups has max_wait_s 4

  Scenario: A conflict is resolved for the hand
    Given the night shift sets lookups max_wait_s to 9
    When the morning shift applies a sheet with lookups max_wait_s 4, taking the hand
    Then lookups has max_wait_s 9
    And the handover names the night shift for lookups max_wait_s

  Scenario: A service removed by hand does not come back
    Given the night shift removes exports
    When the morning shift applies the same sheet
    Then exports is not in force

  Scenario: A service added by hand stays
    Given the night shift adds reviews
    When the morning shift applies the same sheet
    Then reviews is in force
    And lookups is in force

  Scenario: A service that the sheet drops goes
    When the morning shift applies a sheet without exports
    Then exports is not in force

  Scenario: A service that the sheet drops was changed by hand
    Given the night shift sets exports max_wait_s to 9
    When the morning shift applies a sheet without exports
    Then the sheet is rejected and names the night shift
    And exports is in force
