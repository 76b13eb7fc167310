/**
A fleet of real processes on one machine, with the stand-ins around it.
*/
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {stringify} from 'smol-toml';
import {request} from 'undici';
import {submitConfiguration} from '../source/configuration/submit-configuration.js';
import {EtcdKeyValueService} from '../source/ports/etcd-key-value-service.js';
import type {ListedVm} from '../source/ports/listed-vm.js';
import {newIdentifier} from '../source/shared/new-identifier.js';
import {pause} from '../source/shared/pause.js';
import {ChildProcess} from './child-process.js';

type ServiceSpecification = {
	/** Start of its targets' names. */
	readonly name: string;
	/** Name of the service in the configuration, if another. */
	readonly service?: string;
	readonly kind: 'engine' | 'plain';
	readonly zones: readonly string[];
	readonly options?: Readonly<Record<string, unknown>>;
};

type FleetSpecification = {
	readonly basePort: number;
	readonly gatewayZones: readonly string[];
	readonly services: readonly ServiceSpecification[];
	readonly document: string;
	/** Puts a relay that can be cut or silenced before each sidecar. */
	readonly withWires?: boolean;
	readonly storeCallsPerSecond?: number;
	readonly vmListLagMilliseconds?: number;
};

type TargetProcesses = {
	readonly vm: ListedVm;
	readonly targetPort: number;
	readonly settingsFile: string;
	readonly targetOptions: Readonly<Record<string, unknown>>;
	readonly kind: 'engine' | 'plain';
	readonly wireControlPort: number;
};

const standIn = 'build/stand-ins/run-stand-in.js';
const gatewayProgram = 'build/binaries/cowsliprudder-gateway.mjs';
const sidecarProgram = 'build/binaries/cowsliprudder-sidecar.mjs';
const startMilliseconds = 20_000;
const host = '127.0.0.1';

/**
Starts, reaches and ends all processes of a fleet.

@example
```
const fleet = new Fleet(specification);
await fleet.start();
await fleet.stop();
```
*/
export class Fleet {
	readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cowsliprudder-'));
	readonly processes = new Map<string, ChildProcess>();
	readonly targets = new Map<string, TargetProcesses>();
	readonly gateways: ListedVm[] = [];
	readonly store: EtcdKeyValueService;
	readonly #gatewayPorts = new Map<string, {readonly callers: number; readonly operators: number}>();
	readonly #specification: FleetSpecification;
	readonly #recordFile = path.join(this.folder, 'executions.txt');
	readonly #listedStates = new Map<string, ListedVm['state'] | 'unlisted'>();
	#nextPort: number;
	readonly #storePort: number;
	readonly #vmListPort: number;

	constructor(specification: FleetSpecification) {
		this.#specification = specification;
		this.#nextPort = specification.basePort;
		this.#storePort = this.#port();
		this.#vmListPort = this.#port();
		this.store = new EtcdKeyValueService(this.storeAddress);
	}

	get storeAddress(): string {
		return `http://${host}:${this.#storePort}`;
	}

	get vmListAddress(): string {
		return `http://${host}:${this.#vmListPort}`;
	}

	/** Address of a gateway's door for callers. */
	callers(gateway: string): string {
		return `http://${host}:${this.#gatewayPorts.get(gateway)?.callers ?? 0}`;
	}

	/** Address of a gateway's door for operators. */
	operators(gateway: string): string {
		return `http://${host}:${this.#gatewayPorts.get(gateway)?.operators ?? 0}`;
	}

	async start(): Promise<void> {
		const {services, gatewayZones, document, storeCallsPerSecond = 2000} = this.#specification;
		this.#spawn('key-value', standIn, ['key-value', JSON.stringify({port: this.#storePort, callsPerSecond: storeCallsPerSecond})]);
		await this.#reachable(`${this.storeAddress}/record`);
		for (const service of services) {
			for (const [index, zone] of service.zones.entries()) {
				this.#addTarget(service, `${service.name}-${index + 1}`, zone);
			}
		}

		for (const [index, zone] of gatewayZones.entries()) {
			this.#addGateway(`gateway-${index + 1}`, zone);
		}

		await this.submit(document, 0);
		this.#spawn('vm-list', standIn, ['vm-list', JSON.stringify({port: this.#vmListPort, vms: this.vms, lagMilliseconds: this.#specification.vmListLagMilliseconds ?? 0})]);
		await this.#reachable(`${this.vmListAddress}/vms`);
		await Promise.all([...this.targets.values()].map(async target => this.#startTarget(target)));
		for (const {name} of this.gateways) {
			this.startGateway(name);
		}

		await Promise.all(this.gateways.map(async ({name}) => this.#reachable(`${this.callers(name)}/`)));
		await pause(1000);
	}

	get vms(): readonly ListedVm[] {
		return [...this.gateways, ...[...this.targets.values()].map(({vm}) => vm)];
	}

	/** Submits a configuration as an operator would. */
	async submit(document: string, basedOn: number) {
		return submitConfiguration(this.store, {
			document, author: 'fleet', basedOn, submissionId: newIdentifier(),
		});
	}

	startGateway(name: string): void {
		this.#spawn(name, gatewayProgram, [path.join(this.folder, `${name}.toml`)]);
	}

	startSidecar(name: string): void {
		this.#spawn(`${name}-sidecar`, sidecarProgram, [this.targets.get(name)?.settingsFile ?? '']);
	}

	startStandIn(name: string): void {
		const target = this.targets.get(name);
		if (target !== undefined) {
			this.#spawn(name, standIn, [target.kind, JSON.stringify({port: target.targetPort, ...target.targetOptions})]);
		}
	}

	/** Changes what the VM list says of one VM. */
	async setVmState(name: string, state: ListedVm['state']): Promise<void> {
		this.#listedStates.set(name, state);
		await this.#publishVms();
	}

	/** Takes one VM out of the VM list. */
	async unlist(name: string): Promise<void> {
		this.#listedStates.set(name, 'unlisted');
		await this.#publishVms();
	}

	async setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
		await post(`${this.storeAddress}/faults`, faults);
	}

	/** Makes an engine die in the middle of its next change. */
	async crashNextChange(target: string): Promise<void> {
		await post(`http://${host}:${this.targets.get(target)?.targetPort ?? 0}/faults`, {crashNextChange: true});
	}

	async wire(target: string, action: 'silence' | 'cut' | 'pass'): Promise<void> {
		await post(`http://${host}:${this.targets.get(target)?.wireControlPort ?? 0}/${action}`, {});
	}

	/** How often each path was executed by any plain service. */
	get executions(): ReadonlyMap<string, number> {
		const paths = fs.existsSync(this.#recordFile) ? fs.readFileSync(this.#recordFile, 'utf8').split('\n') : [];
		const executions = new Map<string, number>();
		for (const executed of paths) {
			executions.set(executed, (executions.get(executed) ?? 0) + 1);
		}

		return executions;
	}

	/** What a target's stand-in has recorded. */
	async record<Record>(target: string): Promise<Record> {
		const {body} = await request(`http://${host}:${this.targets.get(target)?.targetPort ?? 0}/record`);
		return await body.json() as Record;
	}

	async storeCalls(): Promise<number> {
		const {body} = await request(`${this.storeAddress}/record`);
		return ((await body.json()) as {readonly calls: number}).calls;
	}

	/** Ends every process that this fleet started. */
	async stop(): Promise<void> {
		for (const child of this.processes.values()) {
			if (child.isRunning) {
				child.signal('SIGKILL');
			}
		}

		await Promise.all([...this.processes.values()].map(async child => child.exited));
		await this.store.close();
		fs.rmSync(this.folder, {recursive: true, force: true});
	}

	/** Earlier changes of the list stand beside later ones. */
	async #publishVms(): Promise<void> {
		const listed = this.vms.flatMap((vm): readonly ListedVm[] => {
			const state = this.#listedStates.get(vm.name) ?? vm.state;
			return state === 'unlisted' ? [] : [{...vm, state}];
		});
		await post(`${this.vmListAddress}/set`, listed);
	}

	#port(): number {
		this.#nextPort += 1;
		return this.#nextPort;
	}

	/** Starts a process unless one of that name is running. */
	#spawn(name: string, program: string, programArguments: readonly string[]): void {
		if (this.processes.get(name)?.isRunning === true) {
			return;
		}

		this.processes.set(name, new ChildProcess(name, program, programArguments, this.folder));
	}

	#addTarget({name: prefix, service = prefix, kind, options = {}}: ServiceSpecification, name: string, availabilityZone: string): void {
		const targetPort = this.#port();
		const sidecarPort = this.#port();
		const wirePort = this.#port();
		const wireControlPort = this.#port();
		const settingsFile = path.join(this.folder, `${name}-sidecar.toml`);
		fs.writeFileSync(settingsFile, stringify({
			name: `${name}-sidecar`,
			availabilityZone,
			listen: `${host}:${sidecarPort}`,
			service,
			target: {kind, address: `http://${host}:${targetPort}`, ...kind === 'engine' ? {longestOrderMilliseconds: 5000} : {}},
			platform: {keyValueService: this.storeAddress},
		}));
		this.targets.set(name, {
			vm: {
				name, kind: 'target', service, availabilityZone, address: `${host}:${this.#specification.withWires === true ? wirePort : sidecarPort}`, state: 'live',
			},
			targetPort,
			settingsFile,
			targetOptions: kind === 'plain' ? {...options, recordFile: this.#recordFile} : options,
			kind,
			wireControlPort,
		});
		if (this.#specification.withWires === true) {
			this.#spawn(`${name}-wire`, standIn, ['wire', JSON.stringify({port: wirePort, controlPort: wireControlPort, targetPort: sidecarPort})]);
		}
	}

	async #startTarget({vm, targetPort}: TargetProcesses): Promise<void> {
		this.startStandIn(vm.name);
		await this.#reachable(`http://${host}:${targetPort}/record`);
		this.startSidecar(vm.name);
	}

	#addGateway(name: string, availabilityZone: string): void {
		const callers = this.#port();
		const operators = this.#port();
		this.#gatewayPorts.set(name, {callers, operators});
		fs.writeFileSync(path.join(this.folder, `${name}.toml`), stringify({
			name,
			availabilityZone,
			listen: {callers: `${host}:${callers}`, operators: `${host}:${operators}`},
			platform: {keyValueService: this.storeAddress, vmList: this.vmListAddress},
			stopping: {balancerLagMilliseconds: 500},
		}));
		this.gateways.push({
			name, kind: 'entry', service: '', availabilityZone, address: `${host}:${callers}`, state: 'live',
		});
	}

	async #reachable(address: string): Promise<void> {
		const until = performance.now() + startMilliseconds;
		for (;;) {
			try {
				const {body} = await request(address); // eslint-disable-line no-await-in-loop
				await body.dump(); // eslint-disable-line no-await-in-loop
				return;
			} catch (error) {
				if (performance.now() > until) {
					throw error;
				}

				await pause(50); // eslint-disable-line no-await-in-loop
			}
		}
	}
}

const post = async (address: string, value: unknown): Promise<void> => {
	const {body} = await request(address, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(value)});
	await body.dump();
};
