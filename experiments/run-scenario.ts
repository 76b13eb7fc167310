/**
Runs one scenario against real processes and judges it.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {request} from 'undici';
import type {GatewayStatus} from '../source/gateway/gateway-status.js';
import type {Scenario, ScenarioStep} from '../source/generated/scenario.js';
import {pause} from '../source/shared/pause.js';
import {account} from './account.js';
import type {CallOutcome} from './call-outcome.js';
import {Fleet} from './fleet.js';
import {Traffic} from './traffic.js';

type Verdict = {readonly problems: readonly string[]; readonly summary: string};
type EngineRecord = {readonly conflictingOrders: number; readonly streamsCutByOrders: number};

const seed = 20_261_204;
const zones = ['munster-a', 'munster-b', 'munster-c', 'munster-d'];
const settleMilliseconds = 3000;
const versionMilliseconds = 45_000;
const millisecondsPerSecond = 1000;
const racingOperators = 3;
/** How long after it has left a target may still be given work. */
const leavingMilliseconds = 3000;
const slowStoreMilliseconds = 800;

const signals = {
	kill: 'SIGKILL', stop: 'SIGTERM', freeze: 'SIGSTOP', wake: 'SIGCONT',
} as const;
const storeFaults = {
	outage: {outage: true}, hang: {hang: true}, slow: {slowMilliseconds: slowStoreMilliseconds}, 'recover store': {},
} as const;

const document = (version: string, retryShare: number): string => `
[[models]]
name = "standard"
version = "${version}"

[[services]]
name = "models"
kind = "model"
model = "standard"
retryShare = ${retryShare}

[[services.classes]]
name = "dossier"
importance = "high"
deadlineMilliseconds = 30000
minimumPromptTokens = 1000

[[services.classes]]
name = "question"
importance = "low"
deadlineMilliseconds = 15000
minimumPromptTokens = 0

[[services]]
name = "floor"
kind = "plain"
retryShare = 0.2

[[services.classes]]
name = "default"
importance = "normal"
deadlineMilliseconds = 12000
`;

const zonesOf = (count: number): readonly string[] => Array.from({length: count}, (_, index) => zones[index % zones.length] ?? '');

const createFleet = ({fleet}: Scenario, basePort: number): Fleet => new Fleet({
	basePort,
	gatewayZones: zonesOf(fleet.gateways),
	services: [
		{
			name: 'engine', service: 'models', kind: 'engine', zones: zonesOf(fleet.engines), options: {changeMilliseconds: 1000, checksFencing: fleet.checksFencing ?? false},
		},
		{
			name: 'floor', kind: 'plain', zones: zonesOf(fleet.plain), options: {callMilliseconds: fleet.callMilliseconds ?? 5},
		},
	],
	document: document('1', 0.5),
	withWires: fleet.wires ?? false,
});

const statusOf = async (fleet: Fleet, gateway: string): Promise<GatewayStatus | undefined> => {
	try {
		const {body} = await request(`${fleet.operators(gateway)}/status`, {headersTimeout: 2000});
		return await body.json() as GatewayStatus;
	} catch {
		return undefined;
	}
};

const runningStatuses = async (fleet: Fleet): Promise<readonly GatewayStatus[]> => {
	const running = fleet.gateways.filter(({name}) => fleet.processes.get(name)?.isRunning === true);
	const statuses = await Promise.all(running.map(async ({name}) => statusOf(fleet, name)));
	return statuses.flatMap(status => status ?? []);
};

/** Carries out the steps of one scenario. */
class StepPerformer {
	generation = 1;
	/** When the VM list was told that a target leaves or is gone. */
	readonly leftAt = new Map<string, number>();
	#frozenLeader = '';
	readonly #fleet: Fleet;

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	async perform(step: ScenarioStep): Promise<void> {
		const name = step.on ?? '';
		switch (step.do) {
			case 'kill':
			case 'stop':
			case 'freeze':
			case 'wake': {
				this.#signal(name, signals[step.do]);
				break;
			}

			case 'start': {
				this.#start(name);
				break;
			}

			case 'silence':
			case 'cut':
			case 'pass': {
				await this.#fleet.wire(name, step.do);
				break;
			}

			case 'outage':
			case 'hang':
			case 'slow':
			case 'recover store': {
				await this.#fleet.setStoreFaults(storeFaults[step.do]);
				break;
			}

			case 'lose answers': {
				await this.#fleet.setStoreFaults({loseAnswers: step.count ?? 1});
				break;
			}

			case 'leave': {
				this.leftAt.set(name, Date.now());
				await this.#fleet.setVmState(name, 'leaving');
				break;
			}

			case 'unlist': {
				this.leftAt.set(name, Date.now());
				await this.#fleet.unlist(name);
				break;
			}

			case 'submit': {
				await this.#submit(step.version ?? '1', 1);
				break;
			}

			case 'race': {
				await this.#submit(step.version ?? '1', racingOperators);
				break;
			}

			case 'crash next change': {
				await this.#fleet.crashNextChange(name);
				break;
			}

			case 'freeze leader': {
				this.#frozenLeader = await this.#leader();
				this.#signal(this.#frozenLeader, 'SIGSTOP');
				break;
			}

			case 'wake leader': {
				this.#signal(this.#frozenLeader, 'SIGCONT');
				break;
			}

			case 'kill leader': {
				this.#signal(await this.#leader(), 'SIGKILL');
				break;
			}
		}
	}

	#signal(name: string, signal: NodeJS.Signals): void {
		const child = this.#fleet.processes.get(name);
		if (child === undefined) {
			throw new Error(`no process is named "${name}"`);
		}

		child.signal(signal);
	}

	#start(name: string): void {
		if (name.startsWith('gateway-')) {
			this.#fleet.startGateway(name);
			return;
		}

		if (name.endsWith('-sidecar')) {
			this.#fleet.startSidecar(name.slice(0, -'-sidecar'.length));
			return;
		}

		this.#fleet.startStandIn(name);
	}

	/** Submits differing documents on one generation at once; at most one may be accepted. */
	async #submit(version: string, operators: number): Promise<void> {
		const results = await Promise.all(Array.from({length: operators}, async (_, index) =>
			this.#fleet.submit(document(version, 0.3 + (index / 100)), this.generation)));
		const accepted = results.filter(result => result.isOk());
		if (accepted.length > 1) {
			throw new Error(`${accepted.length} racing submissions were accepted as one generation`);
		}

		this.generation += accepted.length;
	}

	async #leader(): Promise<string> {
		const statuses = await runningStatuses(this.#fleet);
		return statuses.find(({leading}) => leading.length > 0)?.name ?? this.#fleet.gateways[0]?.name ?? '';
	}
}

const waitForVersion = async (fleet: Fleet, version: string): Promise<readonly string[]> => {
	const until = performance.now() + versionMilliseconds;
	for (;;) {
		const [status] = await runningStatuses(fleet); // eslint-disable-line no-await-in-loop
		const staying = status?.targets.filter(({service, leaving, listedLeaving}) => service === 'models' && !leaving && !listedLeaving) ?? [];
		const outdated = staying.filter(({load}) => load?.version !== version).map(({name}) => name);
		if (staying.length > 0 && outdated.length === 0) {
			return [];
		}

		if (performance.now() > until) {
			return [`version ${version} is not loaded by ${outdated.join(', ')}`];
		}

		await pause(500); // eslint-disable-line no-await-in-loop
	}
};

const checkEngines = async (fleet: Fleet, {expect}: Scenario): Promise<readonly string[]> => {
	const engines = [...fleet.targets.values()].filter(({kind, vm}) => kind === 'engine' && fleet.processes.get(vm.name)?.isRunning === true);
	const records = await Promise.all(engines.map(async ({vm}) => ({name: vm.name, record: await fleet.record<EngineRecord>(vm.name)})));
	return records.flatMap(({name, record: {conflictingOrders, streamsCutByOrders}}) => [
		...conflictingOrders > 0 ? [`${name} received ${conflictingOrders} conflicting orders`] : [],
		...streamsCutByOrders > 0 && expect.enginesMayCrash !== true ? [`${name}: orders cut ${streamsCutByOrders} streams`] : [],
	]);
};

/** A target that has left by the list's word alone may not have begun any work more than a few seconds later. */
const checkLeaving = async (fleet: Fleet, leftAt: ReadonlyMap<string, number>): Promise<readonly string[]> => {
	const problems = await Promise.all([...leftAt].map(async ([name, at]) => {
		const {lastStartedAt} = await fleet.record<{readonly lastStartedAt: number}>(name);
		const lag = lastStartedAt - at;
		return lag > leavingMilliseconds ? [`${name} was given work ${lag} ms after it had left`] : [];
	}));
	return problems.flat();
};

const checkProcesses = async (fleet: Fleet, {expect}: Scenario): Promise<readonly string[]> => {
	const statuses = await runningStatuses(fleet);
	const {generation} = expect;
	const broken = statuses.flatMap(({name, counts}) => Object.keys(counts).filter(counter => counter.startsWith('invariant.')).map(counter => `${name} counted ${counter}`));
	const behind = generation === undefined
		? []
		: statuses.flatMap(status => [
			...status.generation === generation ? [] : [`${status.name} has generation ${status.generation} in force`],
			...Object.entries(status.sidecarGenerations).filter(([, heard]) => heard !== generation).map(([name, heard]) => `${name} has generation ${heard} in force`),
		]);
	const exits = await Promise.all((expect.stopped ?? []).map(async name => {
		const code = await Promise.race([fleet.processes.get(name)?.exited, pause(settleMilliseconds)]);
		return code === 0 ? [] : [`${name} ended with ${code ?? 'no exit code'}`];
	}));
	return [...broken, ...behind, ...exits.flat()];
};

type Observed = {readonly outcomes: readonly CallOutcome[]; readonly sent: number; readonly executions: ReadonlyMap<string, number>; readonly recoveredAt: number};

const checkOutcomes = ({outcomes, sent, executions, recoveredAt}: Observed, {expect}: Scenario): readonly string[] => {
	const result = account(sent, outcomes, executions);
	const share = result.answered / Math.max(1, result.sent);
	const late = expect.recoversWithin === undefined ? [] : outcomes.filter(({startedAt, ending}) => startedAt > recoveredAt && ending !== 'answered');
	return [
		...outcomes.length === sent ? [] : [`${sent} sent, ${outcomes.length} ended`],
		...result.wrongAnswers > 0 ? [`${result.wrongAnswers} wrong or crossed answers`] : [],
		...result.falseOutcomes,
		...result.connectionLost > 0 && expect.connectionsMayBreak !== true ? [`${result.connectionLost} callers lost their connection`] : [],
		...result.unknown > 0 && expect.nothingUnknown === true ? [`${result.unknown} callers were told "unknown"`] : [],
		...share < expect.answeredShare ? [`answered ${share.toFixed(3)}, expected ${expect.answeredShare}`] : [],
		...late.slice(0, 3).map(({label, code}) => `after recovery: ${label} ended with ${code}`),
	];
};

/** Codes of the calls that were not answered, with how often each was given. */
const describeCodes = (outcomes: readonly CallOutcome[]): string => {
	const codes = outcomes.filter(({ending}) => ending !== 'answered').map(({label, code}) => `${label} ${code}`);
	const counted = [...new Set(codes)].map(code => `${code} × ${codes.filter(other => other === code).length}`);
	return counted.length === 0 ? '' : ` (${counted.join(', ')})`;
};

/**
Returns what went against the scenario, with a summary of the run.

@example
```
const {problems} = await runScenario(scenario, 24_000);
```
*/
export const runScenario = async (scenario: Scenario, basePort: number): Promise<Verdict> => {
	const fleet = createFleet(scenario, basePort);
	const generator = xoroshiro128plus(seed);
	const {dossier = 0, question = 0, bid = 0, price = 0, seconds} = scenario.traffic;
	try {
		await fleet.start();
		const performer = new StepPerformer(fleet);
		const traffic = new Traffic({
			gateways: fleet.gateways.map(({name}) => fleet.callers(name)),
			model: 'standard',
			plainService: 'floor',
			rates: {
				dossier, question, bid, price,
			},
			organisations: 20,
			random: () => uniformFloat64(generator),
		});
		const startedAt = performance.now();
		const running = traffic.run(seconds * millisecondsPerSecond);
		for (const step of [...scenario.steps].sort((first, second) => first.at - second.at)) {
			await pause(Math.max(0, startedAt + (step.at * millisecondsPerSecond) - performance.now())); // eslint-disable-line no-await-in-loop
			await performer.perform(step); // eslint-disable-line no-await-in-loop
		}

		const lastStep = Math.max(0, ...scenario.steps.map(({at}) => at));
		await running;
		const outcomes = await traffic.finished();
		const versions = scenario.expect.version === undefined ? [] : await waitForVersion(fleet, scenario.expect.version);
		await pause(settleMilliseconds);
		const recoveredAt = startedAt + ((lastStep + (scenario.expect.recoversWithin ?? 0)) * millisecondsPerSecond);
		const problems = [
			...checkOutcomes({
				outcomes, sent: traffic.sent, executions: fleet.executions, recoveredAt,
			}, scenario),
			...versions,
			...await checkEngines(fleet, scenario),
			...await checkLeaving(fleet, performer.leftAt),
			...await checkProcesses(fleet, scenario),
		];
		const {answered, notRun, unknown, ran, connectionLost} = account(traffic.sent, outcomes, fleet.executions);
		return {problems, summary: `${traffic.sent} sent: ${answered} answered, ${notRun} not run, ${unknown} unknown, ${ran} ran, ${connectionLost} connections lost${describeCodes(outcomes)}`};
	} finally {
		await fleet.stop();
	}
};
