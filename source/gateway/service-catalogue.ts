/**
Looks up services and request classes in the configuration in force.
*/
import type {Configuration, RequestClass, ServiceConfiguration} from '../generated/configuration.js';

const defaultClass: RequestClass = {name: 'default', importance: 'normal', deadlineMilliseconds: 60_000};

/**
Index of one configuration's services by name and by model.

@example
```
catalogue.byModel('appraiser-7b')?.name; // 'appraiser-models'
```
*/
export class ServiceCatalogue {
	readonly services: readonly ServiceConfiguration[];
	readonly #byName: ReadonlyMap<string, ServiceConfiguration>;
	readonly #byModel: ReadonlyMap<string, ServiceConfiguration>;

	constructor(configuration: Configuration) {
		this.services = configuration.services;
		this.#byName = new Map(configuration.services.map(service => [service.name, service]));
		this.#byModel = new Map(configuration.services.flatMap(service => service.model === undefined ? [] : [[service.model, service]]));
	}

	byName(name: string): ServiceConfiguration | undefined {
		return this.#byName.get(name);
	}

	byModel(model: string): ServiceConfiguration | undefined {
		return this.#byModel.get(model);
	}

	/** Returns the class that the request names; otherwise the class with the highest prompt-length threshold that its prompt reaches. */
	classOf(service: ServiceConfiguration, requestedName: string | undefined, promptTokens: number): RequestClass {
		const classes = service.classes ?? [];
		const reachedClasses = classes
			.filter(({minimumPromptTokens}) => minimumPromptTokens !== undefined && promptTokens >= minimumPromptTokens)
			.sort((first, second) => (second.minimumPromptTokens ?? 0) - (first.minimumPromptTokens ?? 0));
		return classes.find(({name}) => name === requestedName) ?? reachedClasses[0] ?? classes[0] ?? defaultClass;
	}

	/** True when an operation of a plain service can run twice without harm. */
	isRepeatable(service: ServiceConfiguration, method: string, path: string): boolean {
		return method === 'GET' || method === 'HEAD'
			|| (service.repeatable ?? []).some(operation => operation.method === method && path.startsWith(operation.pathPrefix));
	}
}
