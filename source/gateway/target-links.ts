/**
The links of one gateway to the sidecars that it needs, opened on demand.
*/
import type {ConfigurationReplica} from '../configuration/configuration-replica.js';
import type {TargetDirectory} from '../decisions/routing/target-directory.js';
import type {Message} from '../generated/messages.js';
import type {ListedVm} from '../ports/listed-vm.js';
import {clock} from '../shared/clock.js';
import type {Metrics} from '../shared/metrics.js';
import {TargetLink} from './target-link.js';

type TargetLinksOptions = {
	readonly process: string;
	readonly incarnation: string;
	readonly keeper: ConfigurationReplica;
	readonly metrics: Metrics;
	readonly directory: TargetDirectory;
	readonly onControl: (target: string, message: Message) => void;
};

/**
All target links of one gateway, by target name.

@example
```
links.update(vms);
links.get('engine-3')?.start(message, listener);
```
*/
export class TargetLinks {
	readonly #options: TargetLinksOptions;
	readonly #links = new Map<string, TargetLink>();
	#listed: ReadonlyMap<string, ListedVm> = new Map();

	constructor(options: TargetLinksOptions) {
		this.#options = options;
	}

	get(target: string): TargetLink | undefined {
		return this.#links.get(target);
	}

	get openCount(): number {
		return [...this.#links.values()].filter(link => link.isOpen).length;
	}

	/** Generation that each linked sidecar has in force, by its own word. */
	get generations(): Readonly<Record<string, number>> {
		return Object.fromEntries([...this.#links].filter(([, link]) => link.isOpen).map(([name, link]) => [name, link.peerGeneration]));
	}

	/** Follows the VM list: new targets become reachable; vanished ones are closed once nothing runs there. */
	update(targets: readonly ListedVm[]): void {
		this.#listed = new Map(targets.map(vm => [vm.name, vm]));
		this.#sweep();
	}

	/** Keeps just these links open without work. */
	keepWarm(names: ReadonlySet<string>): void {
		this.#sweep();
		for (const [name, link] of this.#links) {
			link.isWarm = names.has(name) && this.#listed.has(name);
			if (link.isWarm) {
				link.connect();
			}
		}
	}

	closeAll(): void {
		for (const link of this.#links.values()) {
			link.close();
		}

		this.#links.clear();
	}

	/** A VM may vanish from the list while its last requests still run: their link stays until they have ended. */
	#sweep(): void {
		for (const [name, link] of this.#links) {
			if (this.#listed.get(name)?.address !== link.address && !link.hasAttempts) {
				this.#links.delete(name);
				link.close();
			}
		}

		for (const [name, vm] of this.#listed) {
			if (!this.#links.has(name)) {
				this.#links.set(name, this.#open(vm));
			}
		}
	}

	#open({name, address}: ListedVm): TargetLink {
		const {directory, onControl, ...options} = this.#options;
		return new TargetLink({
			...options,
			target: name,
			address,
			onLoad(load) {
				directory.recordLoad(name, load, clock());
				directory.setLeaving(name, load.leaving);
			},
			onControl(message) {
				onControl(name, message);
			},
			onFailure() {
				directory.recordFailure(name, clock());
			},
		});
	}
}
