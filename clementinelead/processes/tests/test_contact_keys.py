from clementinelead.processes import contact_keys


def _contacts(*sides):
    return tuple(contact_keys.Contact("10.0.0.1", number) for number in sides)


def test_count_is_the_one_written_last():
    count = contact_keys.SideCount()
    count.told(_contacts(3, 6, 5, 0))
    assert count.before == 5


def test_partial_view_after_a_start_is_not_published():
    count = contact_keys.SideCount()
    assert count.publishable(3) == 0
    count.complete = True
    assert count.publishable(3) == 3


def test_keys_carry_the_count_over_a_loss_of_all():
    count = contact_keys.SideCount()
    count.told(_contacts(5))
    assert count.publishable(3) == 5
    assert count.publishable(6) == 6
    count.complete = True
    assert count.publishable(3) == 3


def test_keys_without_a_count_tell_nothing():
    count = contact_keys.SideCount()
    count.told(_contacts(0))
    assert count.before == 0
    assert count.publishable(3) == 0
