"""Networks of deployments in tests."""

from tests.cooperative import deployment


def test_two_test_runs_beside_each_other_use_different_networks(tmp_path, monkeypatch):
    monkeypatch.setattr(deployment, "_networks", iter([7, 7, 8]))
    first = deployment.Deployment(tmp_path)
    second = deployment.Deployment(tmp_path)
    assert first.network != second.network
    first.close()
    second.close()
