"""Guards against tokens that are sent to a server whose certificate is not trusted."""

from __future__ import annotations

import pytest
import trustme

from operators_fakes import CHANGE_TOKEN
from operators_fakes import daemon_settings
from operators_fakes import write_tokens

from medlarpass_daemon.control.operators import OperatorsServer

UNAVAILABLE_EXIT_STATUS = 4


@pytest.fixture
async def https_url(backend, tmp_path):
    authority = trustme.CA()
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    trustme.CA().cert_pem.write_to_path(tmp_path / "other.pem")
    identity = authority.issue_cert("127.0.0.1")
    identity.private_key_pem.write_to_path(tmp_path / "key.pem")
    identity.cert_chain_pems[0].write_to_path(tmp_path / "certificate.pem")
    tokens = write_tokens(tmp_path / "tokens.yaml", ("amina", "change", CHANGE_TOKEN))
    tls = {
        "certificate": str(tmp_path / "certificate.pem"),
        "key": str(tmp_path / "key.pem"),
    }
    server = OperatorsServer(daemon_settings(tmp_path, tokens, tls), backend)
    await server.start()
    (tmp_path / "token").write_text(CHANGE_TOKEN)
    yield f"https://127.0.0.1:{server.port}"
    await server.stop()


@pytest.mark.parametrize(
    ("ca_name", "exit_status"), [("ca.pem", 0), ("other.pem", UNAVAILABLE_EXIT_STATUS)]
)
async def test_server_certificate_is_verified_with_the_ca_file(
    https_url, tmp_path, run_program, ca_name, exit_status
) -> None:
    arguments = ["--control", https_url, "--token-file", str(tmp_path / "token")]
    result = await run_program(*arguments, "--ca", str(tmp_path / ca_name), "list", "pools")
    assert result.status == exit_status


async def test_unreadable_ca_file_is_a_usage_error(https_url, tmp_path, run_program) -> None:
    arguments = ["--control", https_url, "--ca", str(tmp_path / "none.pem")]
    result = await run_program(*arguments, "list", "pools")
    assert result.status == 2
