"""Processes newly chosen values: logs them, passes them to the parts that use them, and notifies proxies."""

from ..common.configuration import Configuration
from ..common.configuration_parser import build_configuration
from .consensus.proposal_number import format_proposal_number
from .consensus.registers import CONFIG, DATA_REGISTERS, TABLE
from .outlier_detection import OutlierDetection
from .proxy_feed import ProxyFeed
from .quorum_io import QuorumIO
from .read_replicas import ReadReplicas
from .rollout_progress import RolloutProgress
from .runtime import Runtime


class ChosenValues:
    """Tracks which chosen versions were processed, and holds the configuration in force.

    `configuration` is None until a configuration is chosen, and where the chosen one cannot be built.
    """

    def __init__(
        self,
        runtime: Runtime,
        quorum_io: QuorumIO,
        proxy_feed: ProxyFeed,
        read_replicas: ReadReplicas,
        outlier_detection: OutlierDetection,
        rollout_progress: RolloutProgress,
    ) -> None:
        self.runtime, self.quorum_io, self.proxy_feed = runtime, quorum_io, proxy_feed
        self.read_replicas, self.outlier_detection = read_replicas, outlier_detection
        self.rollout_progress = rollout_progress
        self.logged_versions: dict[str, int] = dict.fromkeys(DATA_REGISTERS, 0)
        self.configuration: Configuration | None = None
        self.configuration_version = 0
        self.latency_targets: dict[str, float] = {}  # s, by service

    def refresh(self) -> None:
        """Process the values that were chosen since the last call. The call is cheap where there are none."""
        consensus = self.quorum_io.consensus
        for register in DATA_REGISTERS:
            version = consensus.version(register)
            if version == self.proxy_feed.announced_versions[register]:
                continue
            self._log_version(register, version)
            if register == TABLE:
                self._learn_table(version)
                self.proxy_feed.announce_table_soon(version)
            else:
                self.proxy_feed.announce(register, version)
        if self.configuration_version != (version := consensus.version(CONFIG)):
            configuration = build_configuration(consensus.value(CONFIG)["config"]).ok()
            self.configuration_version, self.configuration = version, configuration
            self.latency_targets = configuration.latency_targets() if configuration else {}

    def _learn_table(self, version: int) -> None:
        if version > self.proxy_feed.proxy_updates.version:
            table, now = self.quorum_io.consensus.value(TABLE), self.runtime.now()
            self.proxy_feed.proxy_updates.record_table(table)
            self.read_replicas.record_table(now, table)
            self.outlier_detection.record_table(now, table)
            self.rollout_progress.record_table(now, table)

    def _log_version(self, register: str, version: int) -> None:
        if version > self.logged_versions[register]:
            self.logged_versions[register] = version
            self.runtime.log.info(
                "chosen",
                step="consensus",
                proposal_number=format_proposal_number(self.quorum_io.consensus.chosen[register][0]),
                register=register,
                version=version,
            )
