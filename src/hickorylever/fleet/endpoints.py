"""Reads VMs, applications and endpoints from the inventory.

Invalid cells are added to the faults, and reading goes on.
"""

import dataclasses
import ipaddress
import re

from ..records import VM, Application, Endpoint
from .inventory import Faults, Line, read_boolean, read_choice, read_integer, read_name, split_list

VM_ROLES = ("entry", "endpoint")
APPLICATION_KINDS = ("model", "service")
ENGINE_ROLES = ("", "mixed", "prefill", "decode")
MODEL_NAME_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
MODEL_PATH_PREFIX = "/v1"
MAX_PORT = 65535
MAX_ACCELERATORS = 4096


def read_vms(lines: list[Line], faults: Faults) -> dict[str, VM]:
    """Return the VMs by name."""
    vms: dict[str, VM] = {}
    owners: dict[str, str] = {}
    for line in lines:
        name = read_name(line, "vm", vms, faults)
        role = read_choice(line, "role", VM_ROLES, faults)
        vm = VM(name, line["address"], line["region"], line["failure_domain"], role)
        check_address(line, vm, owners, faults)
        for column in ("region", "failure_domain"):
            if not line[column]:
                faults.add(line, column, "is empty")
        vms[name] = vm
    return vms


def check_address(line: Line, vm: VM, owners: dict[str, str], faults: Faults) -> None:
    """Add a fault if an address is malformed or belongs to another VM."""
    try:
        ipaddress.IPv4Address(vm.address)
    except ValueError:
        faults.add(line, "address", f"{vm.address!r} is not an IPv4 address")
    if vm.address in owners:
        faults.add(line, "address", f"is also the address of {owners[vm.address]}")
    owners[vm.address] = vm.name


def read_applications(lines: list[Line], faults: Faults) -> dict[str, Application]:
    """Return the applications by name."""
    applications: dict[str, Application] = {}
    for line in lines:
        name = read_name(line, "application", applications, faults)
        application = Application(
            name, read_choice(line, "kind", APPLICATION_KINDS, faults), line["path"]
        )
        if application.kind == "service":
            check_plain_service(line, application, applications, faults)
        elif application.path or line["vms"]:
            faults.add(line, "path", "path and vms are only for applications of kind service")
        applications[name] = application
    return applications


def check_plain_service(
    line: Line, service: Application, applications: dict[str, Application], faults: Faults
) -> None:
    """Add the faults of a plain service."""
    path = service.path
    if not path.startswith("/") or path.endswith("/"):
        faults.add(line, "path", f"{path!r} must start with / and not end with /")
    if path == MODEL_PATH_PREFIX or path.startswith(MODEL_PATH_PREFIX + "/"):
        faults.add(line, "path", f"{path!r} is reserved for models")
    for other in applications.values():
        if other.path and other.path == path:
            faults.add(line, "path", f"{path!r} is also the path of {other.name}")
    if not split_list(line["vms"]):
        faults.add(line, "vms", "is empty; a service needs at least one VM")


@dataclasses.dataclass(slots=True)
class EndpointCollector:
    """Collects endpoints by name.

    :param sidecar_port: port on which all sidecars listen.
    :param by_vm: names of endpoints by their VM's name.
    """

    vms: dict[str, VM]
    sidecar_port: int
    faults: Faults
    by_name: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    by_vm: dict[str, str] = dataclasses.field(default_factory=dict)

    def add(self, line: Line, name: str, vm_name: str, column: str, **fields: object) -> None:
        """Add an endpoint on a VM.

        Add a fault if the VM is unknown, has another role or already runs an endpoint.

        :param column: column that names the VM.
        :param fields: further fields of :class:`Endpoint`.
        """
        vm = self.vms.get(vm_name)
        if vm is None or vm.role != "endpoint":
            text = f"{vm_name!r} is not a VM of role endpoint in vms.csv"
            self.faults.add(line, column, text)
            return
        if vm.name in self.by_vm:
            other = self.by_vm[vm.name]
            text = f"{vm.name} already runs {other}; a VM runs one sidecar"
            self.faults.add(line, column, text)
        self.by_vm[vm.name] = name
        self.by_name[name] = Endpoint(
            name=name,
            vm=vm.name,
            address=vm.address,
            port=read_integer(line, "port", MAX_PORT, self.faults),
            sidecar_port=self.sidecar_port,
            application=line["application"],
            region=vm.region,
            failure_domain=vm.failure_domain,
            **fields,
        )


def read_endpoints(
    servers: list[Line],
    services: list[Line],
    applications: dict[str, Application],
    endpoints: EndpointCollector,
) -> dict[str, Endpoint]:
    """Return the endpoints by name: the model servers, and each VM of a plain service."""
    for line in servers:
        add_model_server(line, applications, endpoints)
    for line in services:
        if line["kind"] != "service":
            continue
        for vm_name in split_list(line["vms"]):
            if vm_name in endpoints.by_name:
                endpoints.faults.add(line, "vms", f"{vm_name!r} is also an endpoint's name")
            endpoints.add(line, vm_name, vm_name, "vms")
    return endpoints.by_name


def add_model_server(
    line: Line, applications: dict[str, Application], endpoints: EndpointCollector
) -> None:
    """Add the endpoint of a model server."""
    faults = endpoints.faults
    application = applications.get(line["application"])
    if application is None or application.kind != "model":
        faults.add(
            line, "application", f"{line['application']!r} is not an application of kind model"
        )
    models = split_list(line["models"])
    if not models:
        faults.add(line, "models", "is empty; a model server needs at least one model")
    for column in ("models", "adapters"):
        for name in split_list(line[column]):
            if not MODEL_NAME_PATTERN.fullmatch(name):
                faults.add(
                    line,
                    column,
                    f"{name!r} must be 1 to 128 printable ASCII characters without spaces",
                )
    endpoints.add(
        line,
        read_name(line, "server", endpoints.by_name, faults),
        line["vm"],
        "vm",
        models=models,
        capacity=read_integer(line, "accelerators", MAX_ACCELERATORS, faults, "1"),
        version=line["version"],
        adapters=split_list(line["adapters"]),
        engine_role=read_choice(line, "engine_role", ENGINE_ROLES, faults) or "mixed",
        obeys_fencing=read_boolean(line, "obeys_fencing", faults),
    )
