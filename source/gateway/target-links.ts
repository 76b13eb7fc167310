/**
Links of one gateway to all listed sidecars. A connection is opened when it is needed.
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
	readonly configurationReplica: ConfigurationReplica;
	readonly metrics: Metrics;
	readonly directory: TargetDirectory;
	readonly onControl: (target: string, message: Message) => void;
};

/**
Target links of one gateway by target name.

@example
```
links.update(vms);
links.get('engine-3')?.startAttempt(message, listener);
```
*/
export class TargetLinks {
	readonly #options: TargetLinksOptions;
	readonly #links = new Map<string, TargetLink>();
	#listedVms: ReadonlyMap<string, ListedVm> = new Map();

	constructor(options: TargetLinksOptions) {
		this.#options = options;
	}

	get(target: string): TargetLink | undefined {
		return this.#links.get(target);
	}

	get openCount(): number {
		return [...this.#links.values()].filter(link => link.isOpen).length;
	}

	/** Generation of the configuration in force at each sidecar with an open link, as it reported. */
	get generations(): Readonly<Record<string, number>> {
		return Object.fromEntries([...this.#links].filter(([, link]) => link.isOpen).map(([name, link]) => [name, link.peerGeneration]));
	}

	/** Applies a new VM list: adds links for new targets, and closes those of removed targets when they have no attempts. */
	update(targets: readonly ListedVm[]): void {
		this.#listedVms = new Map(targets.map(vm => [vm.name, vm]));
		this.#reconcileLinks();
	}

	/** Keeps the links to these targets, and no others, open without work. */
	setPersistent(names: ReadonlySet<string>): void {
		this.#reconcileLinks();
		for (const [name, link] of this.#links) {
			link.isPersistent = names.has(name) && this.#listedVms.has(name);
			if (link.isPersistent) {
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

	/** Matches the links to the VM list. A VM can leave the list while its last requests still run; its link stays until they have ended. */
	#reconcileLinks(): void {
		for (const [name, link] of this.#links) {
			if (this.#listedVms.get(name)?.address !== link.address && !link.hasAttempts) {
				this.#links.delete(name);
				link.close();
			}
		}

		for (const [name, vm] of this.#listedVms) {
			if (!this.#links.has(name)) {
				this.#links.set(name, this.#createLink(vm));
			}
		}
	}

	#createLink({name, address}: ListedVm): TargetLink {
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
